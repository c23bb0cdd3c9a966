package org.bulrushpier.daemon;

import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import org.bulrushpier.BulrushpierException;
import org.bulrushpier.Codec;
import org.bulrushpier.ErrorCode;
import org.bulrushpier.Finding;
import org.bulrushpier.daemon.http.Call;
import org.bulrushpier.daemon.http.Problem;
import org.bulrushpier.settings.Subtree;
import org.bulrushpier.timeline.Timeline;

/**
 * Handles the administration API: settings, status and timeline.
 *
 * <p>Thread-safe.
 */
final class AdminHandler {

  private static final String PREFIX = "/admin/";
  private static final String SETTINGS = "/admin/settings";
  private static final int MAX_BODY_BYTES = 900_000;

  private final AccessControl accessControl;
  private final SettingsManager settingsManager;
  private final StatusReporter status;
  private final Timeline timeline;

  AdminHandler(
      AccessControl accessControl,
      SettingsManager settingsManager,
      StatusReporter status,
      Timeline timeline) {
    this.accessControl = accessControl;
    this.settingsManager = settingsManager;
    this.status = status;
    this.timeline = timeline;
  }

  static boolean handles(String path) {
    return path.startsWith(PREFIX);
  }

  void handle(Call call) {
    accessControl.checkAnyOperator(call, settingsManager.settings());
    String path = call.path();
    if (path.equals("/admin/status")) {
      call.json(200, status.report());
    } else if (path.equals("/admin/timeline")) {
      call.json(200, timeline.since(call.queryNumber("after", 0)));
    } else if (path.equals(SETTINGS)) {
      call.json(200, settingsManager.tree().subtrees());
    } else if (path.startsWith(SETTINGS + "/")) {
      handleSettings(call, path.substring(SETTINGS.length() + 1));
    } else {
      throw BulrushpierException.notRun(ErrorCode.NOT_FOUND, path + ": no such resource");
    }
  }

  private void handleSettings(Call call, String path) {
    switch (call.method()) {
      case "GET" ->
          call.json(200, settingsManager.tree().subtree(path).orElseThrow(() -> noSubtree(path)));
      case "POST" -> validate(call, path);
      case "PUT" -> change(call, path);
      default ->
          throw BulrushpierException.notRun(
              ErrorCode.BAD_REQUEST,
              call.method() + ": method is not supported, use GET, POST or PUT");
    }
  }

  /**
   * The request body of validate and change calls. Without an expected version, a change replaces
   * the current version, whichever it is.
   */
  record Proposal(String text, Long expectedVersion) {}

  /** The response to a validate call and to an accepted change. */
  record ValidationResult(String path, long version, boolean isAccepted, List<Finding> findings) {}

  private void validate(Call call, String path) {
    Proposal proposal = proposal(call);
    List<Finding> findings = findings(path, proposal.text());
    long version = settingsManager.tree().subtree(path).map(Subtree::version).orElse(0L);
    call.json(200, new ValidationResult(path, version, false, findings));
  }

  private void change(Call call, String path) {
    accessControl.checkOperator(call, settingsManager.settings(), path);
    Proposal proposal = proposal(call);
    List<Finding> findings = findings(path, proposal.text());
    if (!findings.isEmpty()) {
      rejectChange(call, path, findings);
      return;
    }
    long version = settingsManager.tree().subtree(path).map(Subtree::version).orElse(0L);
    long expected = proposal.expectedVersion() == null ? version : proposal.expectedVersion();
    String changeId = call.header("X-Change-Id").orElse("change-" + UUID.randomUUID());
    Subtree subtree = settingsManager.change(path, proposal.text(), expected, changeId);
    timeline.add("settings", path, "version " + subtree.version() + " accepted");
    call.json(200, new ValidationResult(path, subtree.version(), true, List.of()));
  }

  private static void rejectChange(Call call, String path, List<Finding> findings) {
    String message = "settings " + path + ": " + findings.size() + " findings";
    Problem problem = Problem.of(BulrushpierException.notRun(ErrorCode.INVALID_SETTINGS, message));
    byte[] body = Codec.json().write(problem.withFindings(findings));
    call.send(ErrorCode.INVALID_SETTINGS.httpStatus(), Problem.CONTENT_TYPE, body);
  }

  private static Proposal proposal(Call call) {
    Proposal proposal = Codec.json().read(call.body(MAX_BODY_BYTES), Proposal.class);
    if (proposal.text() == null) {
      throw BulrushpierException.notRun(ErrorCode.BAD_REQUEST, "text: is missing");
    }
    return proposal;
  }

  /**
   * Returns the findings in the proposed text and those that it would newly cause in other
   * subtrees.
   */
  private List<Finding> findings(String path, String text) {
    List<Finding> after = settingsManager.tree().withProposal(path, text).settings().findings();
    List<Finding> added = new ArrayList<>(after);
    added.removeAll(
        settingsManager.settings().findings().stream()
            .filter(f -> !f.file().equals(path))
            .toList());
    return added;
  }

  private static BulrushpierException noSubtree(String path) {
    return BulrushpierException.notRun(
        ErrorCode.NOT_FOUND, "settings " + path + ": no such subtree");
  }
}
