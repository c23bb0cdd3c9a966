package org.bulrushpier.daemon;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;

/**
 * Metrics of prompt caching.
 *
 * <p>Thread-safe.
 */
final class CacheCounters {

  private final Counter importedBytes;
  private final Counter exportedBytes;
  private final Counter rejectedBlocks;
  private final Counter promptTokens;
  private final Counter cachedTokens;

  CacheCounters(MeterRegistry registry) {
    importedBytes = registry.counter("bulrushpier.cache.imported.bytes");
    exportedBytes = registry.counter("bulrushpier.cache.exported.bytes");
    rejectedBlocks = registry.counter("bulrushpier.cache.rejected.blocks");
    promptTokens = registry.counter("bulrushpier.prompt.tokens");
    cachedTokens = registry.counter("bulrushpier.prompt.cached.tokens");
  }

  void recordImport(long bytes) {
    importedBytes.increment(bytes);
  }

  void recordExport(long bytes) {
    exportedBytes.increment(bytes);
  }

  void recordRejectedBlock() {
    rejectedBlocks.increment();
  }

  void recordPrompt(int prompt, int cached) {
    promptTokens.increment(prompt);
    cachedTokens.increment(cached);
  }
}
