package org.bulrushpier.daemon.serve;

import java.util.List;
import org.bulrushpier.Moment;
import org.bulrushpier.adapter.SiteFormat;
import org.bulrushpier.adapter.StoreFormat;
import org.bulrushpier.adapter.StoreFormat.Event;
import org.bulrushpier.adapter.StoreFormat.ReadableObject;
import org.bulrushpier.adapter.StoreFormat.StoreObject;
import org.bulrushpier.adapter.StoreFormat.UnreadableObject;
import org.bulrushpier.site.Configuration;

/**
 * Watches the operators' configuration in the platform's metadata store.
 *
 * <p>Each successful call confirms that the known configuration is current, unless the stored one
 * cannot be read. Guarded by the loop's lock.
 */
final class ConfigurationWatcher implements StoreWatch.Listener {

  private final GatewayContext context;
  private boolean isUnavailable;

  /** Whether the stored configuration cannot be read, so that the known one may be outdated. */
  private boolean isUnreadable;

  ConfigurationWatcher(GatewayContext context) {
    this.context = context;
  }

  @Override
  public void listed(List<StoreObject> values, Moment sent, Moment changedAfter) {
    logRecovery();
    values.forEach(value -> accept(value, sent));
  }

  @Override
  public void changed(List<Event> events, Moment sent, Moment changedAfter) {
    logRecovery();
    events.forEach(event -> accept(event.value(), sent));
    if (!isUnreadable) {
      context.configuration().confirm(sent);
    }
  }

  private void logRecovery() {
    if (isUnavailable) {
      isUnavailable = false;
      context.log().event("store-back", "kind", StoreFormat.CONFIGURATIONS);
    }
  }

  private void accept(StoreObject value, Moment sent) {
    if (!value.name().equals(StoreFormat.CONFIGURATION_NAME)) {
      return;
    }
    switch (value) {
      case ReadableObject readable -> accept(readable, sent);
      case UnreadableObject unreadable -> unreadable(unreadable.defect());
    }
  }

  private void accept(ReadableObject value, Moment sent) {
    try {
      Configuration read =
          SiteFormat.configuration(
              value.content(),
              finding -> context.logChange("configuration-finding", "main", finding));
      isUnreadable = false;
      if (context.configuration().accept(read, sent)) {
        context.configurationChanged();
        context.logChange(
            "configuration", "version " + read.version(), "revision " + value.revision());
      }
    } catch (IllegalArgumentException e) {
      unreadable(e.getMessage());
    }
  }

  private void unreadable(String defect) {
    isUnreadable = true;
    context.logChange("configuration-unreadable", StoreFormat.CONFIGURATION_NAME, defect);
  }

  @Override
  public void failed(String detail) {
    context
        .log()
        .event("store-response-unread", "kind", StoreFormat.CONFIGURATIONS, "detail", detail);
  }

  @Override
  public void unavailable(String detail) {
    if (!isUnavailable) {
      isUnavailable = true;
      context.log().event("store-away", "kind", StoreFormat.CONFIGURATIONS, "detail", detail);
    }
  }
}
