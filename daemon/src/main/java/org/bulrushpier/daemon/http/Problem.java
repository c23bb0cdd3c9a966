package org.bulrushpier.daemon.http;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import org.bulrushpier.BulrushpierException;
import org.bulrushpier.Finding;

/**
 * An error body according to RFC 9457, extended by the error code, the certainty of execution and
 * findings.
 *
 * <p>Immutable and thread-safe.
 *
 * @param type a URN derived from the code
 * @param title the code as words
 * @param status the HTTP status
 * @param detail what went wrong and where
 * @param code the code
 * @param execution {@code not-run}, {@code outcome-unknown} or {@code failed}
 * @param findings the faults in an operator's input, or null
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record Problem(
    String type,
    String title,
    int status,
    String detail,
    String code,
    String execution,
    List<Finding> findings) {

  /** The content type of the body. */
  public static final String CONTENT_TYPE = "application/problem+json";

  /**
   * Creates the body for an exception.
   *
   * @param e the exception
   * @return the body
   */
  public static Problem of(BulrushpierException e) {
    String code = e.code().text();
    return new Problem(
        "urn:bulrushpier:" + code,
        code.replace('-', ' '),
        e.code().httpStatus(),
        e.getMessage(),
        code,
        e.certainty().text(),
        null);
  }

  /**
   * Returns a copy with findings.
   *
   * @param found the findings
   * @return the copy
   */
  public Problem withFindings(List<Finding> found) {
    return new Problem(type, title, status, detail, code, execution, List.copyOf(found));
  }
}
