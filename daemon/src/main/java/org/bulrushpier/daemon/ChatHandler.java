package org.bulrushpier.daemon;

import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import org.bulrushpier.BulrushpierException;
import org.bulrushpier.Clock;
import org.bulrushpier.Codec;
import org.bulrushpier.Customer;
import org.bulrushpier.Deployment;
import org.bulrushpier.ErrorCode;
import org.bulrushpier.daemon.http.Call;
import org.bulrushpier.daemon.http.Problem;
import org.bulrushpier.limit.Permit;
import org.bulrushpier.settings.Settings;
import org.bulrushpier.stream.ChatChunk;
import org.bulrushpier.stream.ChatRequest;
import org.bulrushpier.timeline.Timeline;

/**
 * Handles chat completion requests with a streamed or a complete response.
 *
 * <p>Thread-safe.
 */
final class ChatHandler {

  private static final int MAX_BODY_BYTES = 4_000_000;

  private final SettingsManager settingsManager;
  private final AdmissionController admission;
  private final ChatRunner runner;
  private final Clock clock;
  private final Timeline timeline;

  ChatHandler(
      SettingsManager settingsManager,
      AdmissionController admission,
      ChatRunner runner,
      Clock clock,
      Timeline timeline) {
    this.settingsManager = settingsManager;
    this.admission = admission;
    this.runner = runner;
    this.clock = clock;
    this.timeline = timeline;
  }

  void handle(Call call) {
    Settings settings = settingsManager.settings();
    Customer customer = AccessControl.customer(call, settings);
    ChatRequest request =
        Codec.json().read(call.body(MAX_BODY_BYTES), ChatRequest.class).validated();
    Deployment deployment =
        settings
            .deployment(customer, request.model())
            .orElseThrow(() -> noDeployment(request.model(), customer));
    String id = "req-" + UUID.randomUUID();
    long deadline = clock.millis() + deployment.deadlineMillis();
    Permit permit = admission.acquire(customer, deadline);
    timeline.add("chat", id, "admitted for " + customer.id());
    try {
      ChatRunner.Job job = new ChatRunner.Job(id, customer, deployment, request, deadline);
      if (request.isStream()) {
        sendStream(call, job);
      } else {
        sendComplete(call, job);
      }
    } finally {
      admission.release(permit);
    }
  }

  private void sendStream(Call call, ChatRunner.Job job) {
    StreamSink sink = new StreamSink(call, job);
    try {
      runner.run(job, sink);
    } catch (BulrushpierException e) {
      if (!sink.isOpen()) {
        throw e;
      }
      sink.fail(e);
    }
  }

  private void sendComplete(Call call, ChatRunner.Job job) {
    BufferingSink sink = new BufferingSink();
    runner.run(job, sink);
    Completion.Choice choice =
        new Completion.Choice(0, new Completion.Message("assistant", sink.text.toString()), "stop");
    call.json(
        200,
        new Completion(
            job.id(),
            "chat.completion",
            job.deployment().name(),
            job.deployment().weightVersion(),
            List.of(choice),
            sink.usage));
  }

  private static BulrushpierException noDeployment(String model, Customer customer) {
    String message = "model: '" + model + "' is no deployment of " + customer.id();
    return BulrushpierException.notRun(ErrorCode.NOT_FOUND, message);
  }

  /** A complete response, in the chat completion format that common model clients expect. */
  record Completion(
      String id,
      String object,
      String model,
      @com.fasterxml.jackson.annotation.JsonProperty("weight_version") String weightVersion,
      List<Choice> choices,
      ChatChunk.Usage usage) {

    record Choice(
        int index,
        Message message,
        @com.fasterxml.jackson.annotation.JsonProperty("finish_reason") String finishReason) {}

    record Message(String role, String content) {}
  }

  /** The last event of a stream that could not be completed. */
  record StreamError(Problem error) {}

  private static final class BufferingSink implements ChatRunner.Sink {
    private final StringBuilder text = new StringBuilder();
    private ChatChunk.Usage usage;

    @Override
    public void token(int offset, String content) {
      text.append(content);
    }

    @Override
    public void end(int tokens, ChatChunk.Usage counts) {
      usage = counts;
    }
  }

  private static final class StreamSink implements ChatRunner.Sink {
    private final Call call;
    private final ChatRunner.Job job;
    private final List<Call.EventSink> open = new ArrayList<>(1);

    private StreamSink(Call call, ChatRunner.Job job) {
      this.call = call;
      this.job = job;
    }

    @Override
    public void token(int offset, String content) {
      events()
          .send(
              ChatChunk.token(
                  job.id(),
                  job.deployment().name(),
                  job.deployment().weightVersion(),
                  offset,
                  content));
    }

    @Override
    public void end(int tokens, ChatChunk.Usage usage) {
      Deployment deployment = job.deployment();
      events()
          .send(
              ChatChunk.end(
                  job.id(), deployment.name(), deployment.weightVersion(), tokens, usage));
      events().done();
    }

    private boolean isOpen() {
      return !open.isEmpty();
    }

    private void fail(BulrushpierException e) {
      events().send(new StreamError(Problem.of(e)));
    }

    private Call.EventSink events() {
      if (open.isEmpty()) {
        open.add(call.events());
      }
      return open.get(0);
    }
  }
}
