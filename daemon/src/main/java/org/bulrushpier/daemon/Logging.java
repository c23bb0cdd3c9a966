package org.bulrushpier.daemon;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import org.slf4j.LoggerFactory;

/**
 * Configures Logback to write each event as a line of text or as a JSON object.
 *
 * <p>Stateless; to be called once at startup.
 */
public final class Logging {

  private static final String PATTERN = "%d{HH:mm:ss.SSS} %-5level %msg%n%ex";

  /** Number of events that may wait to be written, enough for a few seconds. */
  private static final int EVENT_QUEUE_CAPACITY = 2_048;

  private Logging() {}

  /**
   * Configures logging to standard output.
   *
   * @param isJson whether to write JSON objects instead of text
   */
  public static void configure(boolean isJson) {
    LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
    context.reset();
    ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
    appender.setContext(context);
    appender.setEncoder(isJson ? json(context) : text(context));
    appender.start();
    Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    root.setLevel(Level.INFO);
    root.addAppender(appender);
    context.getLogger("org.eclipse.jetty").setLevel(Level.WARN);
  }

  /** Configures logging for a command-line tool: warnings only. */
  public static void configureQuiet() {
    configure(false);
    LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
    context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME).setLevel(Level.WARN);
  }

  /**
   * Configures logging for a server process: JSON lines, dropped rather than blocking the caller
   * when the queue is full.
   */
  public static void configureEvents() {
    LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
    context.reset();
    JsonEncoder encoder = json(context);
    encoder.setWithContext(false);
    encoder.setWithSequenceNumber(false);
    encoder.setWithNanoseconds(false);
    encoder.setWithThreadName(false);
    encoder.setWithMDC(false);
    encoder.setWithMessage(true);
    encoder.setWithFormattedMessage(false);
    encoder.setWithArguments(false);
    ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
    console.setContext(context);
    console.setEncoder(encoder);
    console.setImmediateFlush(true);
    console.start();
    AsyncAppender async = new AsyncAppender();
    async.setContext(context);
    async.setQueueSize(EVENT_QUEUE_CAPACITY);
    async.setDiscardingThreshold(0);
    async.setNeverBlock(true);
    async.addAppender(console);
    async.start();
    Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    root.setLevel(Level.INFO);
    root.addAppender(async);
    context.getLogger("org.eclipse.jetty").setLevel(Level.WARN);
  }

  private static Encoder<ILoggingEvent> text(LoggerContext context) {
    PatternLayoutEncoder encoder = new PatternLayoutEncoder();
    encoder.setContext(context);
    encoder.setPattern(PATTERN);
    encoder.start();
    return encoder;
  }

  private static JsonEncoder json(LoggerContext context) {
    JsonEncoder encoder = new JsonEncoder();
    encoder.setContext(context);
    encoder.start();
    return encoder;
  }
}
