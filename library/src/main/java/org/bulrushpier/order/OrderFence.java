package org.bulrushpier.order;

import java.util.Optional;
import org.bulrushpier.Codec;
import org.bulrushpier.platform.ObjectApi;
import org.bulrushpier.platform.PlatformUnavailableException;
import org.bulrushpier.platform.StoredObject;

/**
 * The right to send orders to the engines of a model. It is represented by one platform object per
 * model, whose version is the fencing token.
 *
 * <pre>{@code
 * OrderFence orderFence = OrderFence.of("checklist-8b", "entry-1", api);
 * Optional<Long> fence = orderFence.acquire(plan);
 * }</pre>
 *
 * <p>Invariant: a fencing token is issued for a plan only after a write that is conditional on the
 * writes of all earlier holders, so a later plan always has a larger token. Holding a token does
 * not guarantee that no other entry considers itself the holder: engines that check fencing tokens
 * reject the older one; for engines that do not, the latest holder reads the state back and repeats
 * its orders. Thread-safe; a single lock is held during calls to the platform.
 */
public final class OrderFence {

  private final String key;
  private final String holder;
  private final ObjectApi api;
  private String heldSignature = "";
  private long fence;

  private OrderFence(String model, String holder, ObjectApi api) {
    this.key = "orders/" + model;
    this.holder = holder;
    this.api = api;
  }

  /** The value of the platform object. */
  private record Stored(String holder, String signature) {}

  /**
   * Creates an instance that holds no fencing token.
   *
   * @param model the model
   * @param holder the name of this entry
   * @param api the platform's object API
   * @return the instance
   */
  public static OrderFence of(String model, String holder, ObjectApi api) {
    return new OrderFence(model, holder, api);
  }

  /**
   * Ensures that the last write of the model's object was made by this entry and for this plan.
   *
   * @param plan the plan to execute
   * @return the fencing token, or empty if another entry wrote the object concurrently
   * @throws PlatformUnavailableException if the platform did not answer
   */
  public synchronized Optional<Long> acquire(OrderPlan plan) {
    Optional<StoredObject> object = api.read(key);
    long version = object.map(StoredObject::version).orElse(ObjectApi.ABSENT);
    if (version == fence && fence > 0 && heldSignature.equals(plan.signature())) {
      return Optional.of(fence);
    }
    byte[] value = Codec.json().write(new Stored(holder, plan.signature()));
    Optional<Long> written = api.write(key, value, version);
    fence = written.orElse(0L);
    heldSignature = plan.signature();
    return written;
  }
}
