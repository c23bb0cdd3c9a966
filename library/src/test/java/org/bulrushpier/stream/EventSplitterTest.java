package org.bulrushpier.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

class EventSplitterTest {

  private final List<String> events = new ArrayList<>();
  private final List<Long> ids = new ArrayList<>();

  private void collect(byte[] bytes, long id) {
    events.add(new String(bytes, StandardCharsets.UTF_8));
    ids.add(id);
  }

  private void feed(EventSplitter splitter, String text) {
    splitter.feed(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)), this::collect);
  }

  /** The events do not depend on the chunks in which the network delivers the stream. */
  @Property
  void eventsAreIndependentOfChunkSizes(
      @ForAll @Size(max = 40) List<@IntRange(min = 1, max = 9) Integer> chunkSizes) {
    events.clear();
    ids.clear();
    String stream =
        "id: 1\ndata: a\n\nweight-versions: 2\nid: 2\r\ndata: b\r\n\r\nid: 13\ndata:\n\n";
    EventSplitter splitter = new EventSplitter();
    int start = 0;
    for (int size : chunkSizes) {
      int end = Math.min(stream.length(), start + size);
      feed(splitter, stream.substring(start, end));
      start = end;
    }
    feed(splitter, stream.substring(start));

    assertThat(String.join("", events)).isEqualTo(stream);
    assertThat(ids).containsExactly(1L, 2L, 13L);
    assertThat(splitter.isPartial()).isFalse();
  }

  @Example
  void incompleteEventIsBufferedAndDiscardedOnReset() {
    EventSplitter splitter = new EventSplitter();
    feed(splitter, "id: 1\ndata: a\n\nid: 2\nda");

    assertThat(ids).containsExactly(1L);
    assertThat(splitter.isPartial()).isTrue();

    splitter.reset();
    feed(splitter, "id: 2\ndata: b\n\n");
    assertThat(ids).containsExactly(1L, 2L);
  }

  @Example
  void eventWithoutNumericIdHasNoId() {
    EventSplitter splitter = new EventSplitter();
    feed(splitter, "data: a\n\nid: x\ndata: b\n\n");

    assertThat(ids).containsExactly(-1L, -1L);
  }

  @Example
  void commentsAreNotTakenForEventsWithoutId() {
    feed(new EventSplitter(), ": ping\n\nretry: 5\n\ndata: a\n\nid: 3\ndata: b\n\n");

    assertThat(ids).containsExactly(EventSplitter.NO_EVENT, EventSplitter.NO_EVENT, -1L, 3L);
  }
}
