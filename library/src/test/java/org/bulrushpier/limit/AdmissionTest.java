package org.bulrushpier.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.bulrushpier.BulrushpierException;
import org.bulrushpier.Customer;
import org.bulrushpier.ErrorCode;
import org.bulrushpier.Limits;
import org.bulrushpier.settings.SettingsTree;
import org.bulrushpier.settings.Subtree;
import org.junit.jupiter.api.Test;

class AdmissionTest {

  private static final SettingsTree TREE =
      SettingsTree.empty()
          .with(
              List.of(
                  new Subtree(
                      "site",
                      1,
                      """
                      [site]
                      name = s
                      concurrency-limit = 6
                      [team t]
                      operator-key-sha256 = %s
                      concurrency-limit = 4
                      """
                          .formatted("0".repeat(64)))));

  private long now = 1_000_000;
  private final Admission admission = Admission.of(TREE.settings(), () -> now);

  private static Customer customer(String name, long rate, long maxInFlight, int weight) {
    Limits limits = new Limits(rate, maxInFlight, 100);
    return new Customer(name, "site/t", "k" + name, limits, weight, 5);
  }

  private CompletableFuture<Permit> request(Customer customer) {
    return admission.request(customer, now + 60_000);
  }

  private static ErrorCode rejection(CompletableFuture<Permit> future) {
    return ((BulrushpierException) future.exceptionNow()).code();
  }

  @Test
  void requestBeyondRateLimitIsRejectedImmediately() {
    Customer customer = customer("a", 4, 100, 1);
    admission.release(request(customer).join());
    CompletableFuture<Permit> second = request(customer);
    assertThat(rejection(second)).isEqualTo(ErrorCode.LIMIT_REACHED);
    assertThat(((BulrushpierException) second.exceptionNow()).retryAfterMillis()).isPositive();
    now += 250;
    assertThat(request(customer)).isCompleted();
  }

  @Test
  void childIsBoundByConcurrencyLimitOfParent() {
    Customer a = customer("a", 1_000, 100, 1);
    Customer b = customer("b", 1_000, 100, 1);
    List<CompletableFuture<Permit>> all = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      all.add(request(i % 2 == 0 ? a : b));
    }
    assertThat(all).allMatch(CompletableFuture::isDone);
    CompletableFuture<Permit> fifth = request(a);
    assertThat(fifth).isNotDone();
    admission.release(all.get(0).join());
    assertThat(fifth).isCompleted();
  }

  @Test
  void queuedRequestsAreAdmittedByWeight() {
    Customer light = customer("light", 1_000, 100, 1);
    Customer heavy = customer("heavy", 1_000, 100, 3);
    List<Permit> running = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      running.add(request(light).join());
    }
    List<CompletableFuture<Permit>> lights = new ArrayList<>();
    List<CompletableFuture<Permit>> heavies = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      lights.add(request(light));
      heavies.add(request(heavy));
    }
    for (int i = 0; i < 8; i++) {
      admission.release(running.remove(0));
      lights.stream().filter(CompletableFuture::isDone).forEach(f -> addOnce(running, f));
      heavies.stream().filter(CompletableFuture::isDone).forEach(f -> addOnce(running, f));
    }
    assertThat(heavies.stream().filter(CompletableFuture::isDone).count()).isBetween(5L, 7L);
  }

  private static void addOnce(List<Permit> running, CompletableFuture<Permit> future) {
    if (!running.contains(future.join())) {
      running.add(future.join());
    }
  }

  @Test
  void requestThatCannotMeetItsDeadlineIsRejectedImmediately() {
    Customer customer = customer("a", 1_000, 1, 1);
    assertThat(request(customer)).isCompleted();
    request(customer);
    request(customer);
    CompletableFuture<Permit> late = admission.request(customer, now + 100);
    assertThat(rejection(late)).isEqualTo(ErrorCode.DEADLINE);
  }

  @Test
  void withdrawnRequestIsNeverAdmitted() {
    Customer customer = customer("a", 1_000, 1, 1);
    Permit first = request(customer).join();
    CompletableFuture<Permit> second = request(customer);
    assertThat(admission.withdraw(second)).isTrue();
    admission.release(first);
    assertThat(second).isNotDone();
    assertThat(admission.inFlight()).isZero();
  }

  @Test
  void sharesOfAllEntriesAddUpToOne() {
    Map<String, Double> mine = Map.of("site/t/a", 9.0);
    Map<String, Double> theirs = Map.of("site/t/a", 1.0, "site/t/b", 5.0);
    Map<String, Double> joint = Map.of("site/t/a", 10.0, "site/t/b", 5.0);
    Shares first = Shares.of(mine, List.of(theirs), List.of(), joint);
    Shares second = Shares.of(theirs, List.of(mine), List.of(), joint);
    for (String path : List.of("site/t/a", "site/t/b", "site/t/c", "site/t", "site")) {
      assertThat(first.of(path) + second.of(path)).isBetween(0.999, 1.001);
    }
    assertThat(first.of("site/t/a")).isGreaterThan(0.7);
    assertThat(second.of("site/t/a")).isGreaterThan(0.09);
  }

  /**
   * Entries 1 and 2 are partitioned from entry 3. Both sides together keep the limit however the
   * demand changes after the partition.
   */
  @Property(tries = 300)
  void sharesOnBothSidesOfPartitionNeverExceedOne(
      @ForAll @IntRange(max = 50) int before1,
      @ForAll @IntRange(max = 50) int before2,
      @ForAll @IntRange(max = 50) int before3,
      @ForAll @IntRange(max = 50) int after1,
      @ForAll @IntRange(max = 50) int after2,
      @ForAll @IntRange(max = 50) int after3) {
    String path = "site/t/a";
    Map<String, Double> joint = Map.of(path, (double) before1 + before2 + before3);
    Map<String, Double> now1 = Map.of(path, (double) after1);
    Map<String, Double> now2 = Map.of(path, (double) after2);
    Map<String, Double> now3 = Map.of(path, (double) after3);
    List<Map<String, Double>> unreachable3 = List.of(Map.of(path, (double) before3));
    List<Map<String, Double>> unreachable12 =
        List.of(Map.of(path, (double) before1), Map.of(path, (double) before2));
    double sum =
        Shares.of(now1, List.of(now2), unreachable3, joint).of(path)
            + Shares.of(now2, List.of(now1), unreachable3, joint).of(path)
            + Shares.of(now3, List.of(), unreachable12, joint).of(path);
    assertThat(sum).isLessThanOrEqualTo(1.000001);
  }

  @Property(tries = 300)
  void inFlightNeverExceedsAnyLimit(
      @ForAll @Size(max = 80) List<@IntRange(max = 999) Integer> steps) {
    Admission random = Admission.of(TREE.settings(), () -> 1_000_000L);
    Customer[] customers = {
      customer("a", 1_000, 2, 1), customer("b", 1_000, 3, 2), customer("c", 1_000, 4, 1)
    };
    List<CompletableFuture<Permit>> open = new ArrayList<>();
    for (int step : steps) {
      List<CompletableFuture<Permit>> done =
          open.stream().filter(CompletableFuture::isDone).toList();
      if (step % 2 == 0 || done.isEmpty()) {
        open.add(random.request(customers[step / 2 % 3], 1_060_000L));
      } else {
        CompletableFuture<Permit> ended = done.get(step / 2 % done.size());
        open.remove(ended);
        random.release(ended.join());
      }
      assertThat(random.inFlight()).isLessThanOrEqualTo(4);
      for (Customer customer : customers) {
        long own =
            open.stream()
                .filter(CompletableFuture::isDone)
                .filter(f -> f.join().customer().equals(customer))
                .count();
        assertThat(own).isLessThanOrEqualTo(customer.limits().maxInFlight());
      }
    }
  }
}
