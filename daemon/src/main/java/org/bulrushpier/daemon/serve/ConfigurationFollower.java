package org.bulrushpier.daemon.serve;

import java.util.List;
import org.bulrushpier.Moment;
import org.bulrushpier.adapter.SiteFormat;
import org.bulrushpier.adapter.StoreFormat;
import org.bulrushpier.adapter.StoreFormat.Event;
import org.bulrushpier.adapter.StoreFormat.StoredValue;
import org.bulrushpier.site.Configuration;

/**
 * Follows the operators' configuration in the platform's store.
 *
 * <p>Each call that ended well proves the configuration's age anew. Confined to the loop's lock.
 */
final class ConfigurationFollower implements StoreWatch.Listener {

  private static final String CONFIGURATION = "main";

  private final Tables tables;
  private boolean isAway;

  ConfigurationFollower(Tables tables) {
    this.tables = tables;
  }

  @Override
  public void listed(List<StoredValue> values, Moment sent) {
    back();
    values.forEach(value -> accept(value, sent));
  }

  @Override
  public void changed(List<Event> events, Moment sent) {
    back();
    events.forEach(event -> accept(event.value(), sent));
    tables.configuration().confirm(sent);
  }

  private void back() {
    if (isAway) {
      isAway = false;
      tables.log().event("store-back", "kind", StoreFormat.CONFIGURATIONS);
    }
  }

  private void accept(StoredValue value, Moment sent) {
    if (!value.name().equals(CONFIGURATION)) {
      return;
    }
    try {
      Configuration read =
          SiteFormat.configuration(
              value.content(), finding -> tables.belief("configuration-finding", "main", finding));
      if (tables.configuration().accept(read, sent)) {
        tables.belief("configuration", "version " + read.version(), "revision " + value.revision());
      }
    } catch (IllegalArgumentException e) {
      tables.belief("configuration-unreadable", "main", e.getMessage());
    }
  }

  @Override
  public void away(String detail) {
    if (!isAway) {
      isAway = true;
      tables.log().event("store-away", "kind", StoreFormat.CONFIGURATIONS, "detail", detail);
    }
  }
}
