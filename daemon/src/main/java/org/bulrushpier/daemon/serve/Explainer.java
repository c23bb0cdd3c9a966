package org.bulrushpier.daemon.serve;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import org.bulrushpier.Moment;
import org.bulrushpier.MonotonicClock;
import org.bulrushpier.adapter.StoreFormat;
import org.bulrushpier.call.CallerRequest;
import org.bulrushpier.call.PromptPart;
import org.bulrushpier.call.PromptShape;
import org.bulrushpier.daemon.serve.Explanation.Belief;
import org.bulrushpier.daemon.serve.Explanation.Candidate;
import org.bulrushpier.daemon.serve.Explanation.Prediction;
import org.bulrushpier.daemon.serve.Explanation.Target;
import org.bulrushpier.placing.EngineEstimate;
import org.bulrushpier.placing.Placement;
import org.bulrushpier.placing.PlacementQueue;
import org.bulrushpier.poison.PartAdmission.Barred;
import org.bulrushpier.replica.Exclusion;
import org.bulrushpier.replica.Replica;
import org.bulrushpier.site.Configuration;
import org.bulrushpier.site.ConfiguredRoute;
import org.bulrushpier.site.KeyHolder;

/**
 * Explains where a request would go now, without sending it.
 *
 * <p>Decides by the same policies as an {@link Exchange} and changes nothing. Guarded by the loop's
 * lock.
 */
final class Explainer {

  private static final String OUTDATED_WEIGHTS = "serving weights that the request must not run on";

  private final GatewayContext context;

  Explainer(GatewayContext context) {
    this.context = context;
  }

  /** Explains the first attempt of a request. */
  Explanation explain(CallerRequest request) {
    Optional<Configuration> configuration = context.configuration().configuration();
    if (configuration.isEmpty()) {
      return refused("no configuration is known yet");
    }
    Optional<ConfiguredRoute> route = configuration.get().route(request.host(), request.path());
    if (route.isEmpty()) {
      return refused("no route for host '%s' and this path".formatted(request.host()));
    }
    KeyHolder holder = KeyHolder.ANONYMOUS;
    String refusal = "";
    if (!route.get().isPublic()) {
      long age = context.configuration().ageMillis(Moment.now());
      Optional<KeyHolder> held = configuration.get().holder(request.key());
      holder = held.orElse(KeyHolder.ANONYMOUS);
      if (!context.keyFreshness().mayAcceptKeys(age)) {
        refusal = "keys were last confirmed " + age + " ms ago";
      } else if (held.isEmpty()) {
        refusal = request.key().isEmpty() ? "the key is missing" : "the key is unknown";
      }
    }
    if (refusal.isEmpty()) {
      refusal = barred(request);
    }
    return explanation(request, route.get(), holder, refusal);
  }

  private String barred(CallerRequest request) {
    List<String> parts =
        request.prompt().stream()
            .flatMap(prompt -> prompt.sharedParts().stream())
            .map(PromptPart::id)
            .toList();
    return context.poison().check(parts) instanceof Barred barred ? barred.reason() : "";
  }

  private Explanation refused(String reason) {
    return new Explanation(
        context.settings().name(),
        context.settings().domain(),
        "",
        "",
        (int) Explanation.UNKNOWN,
        Explanation.UNKNOWN,
        Explanation.UNKNOWN,
        reason,
        List.of(),
        beliefs(Optional.empty()));
  }

  private Explanation explanation(
      CallerRequest request, ConfiguredRoute route, KeyHolder holder, String refusal) {
    long waitMillis = Math.min(request.waitMillis(), route.timeoutMillis());
    double total = route.backends().stream().mapToDouble(ConfiguredRoute.Backend::weight).sum();
    List<Target> targets = new ArrayList<>();
    int priority = holder.effectivePriority(route);
    for (ConfiguredRoute.Backend backend : route.backends()) {
      if (refusal.isEmpty() && backend.weight() > 0) {
        ReplicaSelection selection =
            new ReplicaSelection(context, request.prompt(), route, holder, backend.service());
        priority = selection.priority();
        targets.add(target(selection, request, waitMillis, backend.weight() / total));
      }
    }
    return new Explanation(
        context.settings().name(),
        context.settings().domain(),
        route.name(),
        holder.customer(),
        priority,
        route.goalMillis(),
        waitMillis,
        refusal,
        targets,
        beliefs(request.prompt()));
  }

  private Target target(
      ReplicaSelection selection, CallerRequest request, long waitMillis, double share) {
    long now = MonotonicClock.millis();
    List<Candidate> candidates = candidates(selection, now);
    Placement placement = selection.preview(waitMillis, now);
    PlacementQueue<QueueWait> queue = context.placementQueue(selection.service());
    if (request.prompt().isPresent()
        && !(placement instanceof Placement.Refuse)
        && queue.isAhead(selection.priority())) {
      placement = ReplicaSelection.BEHIND_OTHERS;
    }
    String choice;
    String replica = "";
    String reason = "";
    switch (placement) {
      case Placement.Send send -> {
        choice = "send";
        replica = send.replica().entry().id();
      }
      case Placement.Wait wait -> {
        choice = "wait";
        reason = wait.reason();
      }
      case Placement.Refuse refuse -> {
        choice = "refuse";
        reason = refuse.reason() + ", to be sent again after " + refuse.retryAfterMillis() + " ms";
      }
    }
    return new Target(
        selection.service(), share, choice, replica, reason, queue.size(), candidates);
  }

  private List<Candidate> candidates(ReplicaSelection selection, long now) {
    List<Candidate> candidates = new ArrayList<>();
    List<Replica> usable = new ArrayList<>();
    List<Candidate> excluded = new ArrayList<>();
    for (Replica replica : context.replicas().replicasOf(selection.service())) {
      Optional<Exclusion> reason = selection.exclusion(replica, now);
      if (reason.isEmpty()) {
        usable.add(replica);
      } else {
        excluded.add(
            candidate(
                replica,
                reason.get().description(),
                Explanation.UNKNOWN,
                null,
                Explanation.UNKNOWN,
                now));
      }
    }
    List<EngineEstimate> estimates = selection.estimates(usable, now);
    for (EngineEstimate estimate : estimates) {
      candidates.add(
          candidate(
              estimate.engine(),
              estimate.isVersionAllowed() ? "" : OUTDATED_WEIGHTS,
              estimate.version(),
              prediction(estimate),
              estimate.cost(),
              now));
    }
    if (estimates.isEmpty()) {
      context
          .plainPlacement()
          .costs(usable, now)
          .forEach(
              (replica, cost) ->
                  candidates.add(candidate(replica, "", Explanation.UNKNOWN, null, cost, now)));
      candidates.sort(Comparator.comparingDouble(Candidate::cost));
    }
    candidates.addAll(excluded);
    return candidates;
  }

  private static Prediction prediction(EngineEstimate estimate) {
    return new Prediction(
        Math.round(estimate.waitMillis()),
        Math.round(estimate.ownMillis()),
        Math.round(estimate.faultMillis()),
        estimate.plan().residentTokens(),
        estimate.plan().fetchedTokens(),
        estimate.plan().prefillTokens());
  }

  private static Candidate candidate(
      Replica replica,
      String exclusion,
      long weights,
      Prediction prediction,
      double cost,
      long now) {
    long heard = replica.lastActivityMillis();
    return new Candidate(
        replica.entry().id(),
        replica.entry().domain(),
        exclusion,
        weights,
        replica.ownRequests(),
        heard <= 0 ? Explanation.UNKNOWN : now - heard,
        prediction,
        cost);
  }

  private List<Belief> beliefs(Optional<PromptShape> prompt) {
    List<Belief> beliefs = new ArrayList<>();
    Optional<Configuration> configuration = context.configuration().configuration();
    beliefs.add(
        new Belief(
            "configuration",
            configuration.map(known -> "version " + known.version()).orElse("not known"),
            configuration.isEmpty()
                ? Explanation.UNKNOWN
                : context.configuration().ageMillis(Moment.now())));
    Moment now = Moment.now();
    boolean isCurrent = context.replicas().isCurrent(MonotonicClock.millis());
    beliefs.add(
        new Belief(
            "replicas",
            !context.replicas().isListed()
                ? "not known"
                : isCurrent ? "as registered" : "as registered before the store went away",
            age(StoreFormat.REPLICAS, now)));
    if (context.evacuations().isWatched()) {
      beliefs.add(
          new Belief(
              "evacuated domains",
              context.evacuations().areKnown()
                  ? new TreeSet<>(context.evacuations().domains()).toString()
                  : "not known",
              age(StoreFormat.EVACUATIONS, now)));
    }
    prompt.ifPresent(
        p ->
            beliefs.add(
                new Belief(
                    "requested weights of " + p.model(),
                    context.weights().isListed()
                        ? "version " + context.weights().target(p.model()).version()
                        : "not known",
                    age(StoreFormat.WEIGHTS, now))));
    return beliefs;
  }

  private long age(String kind, Moment now) {
    return context.confirmations().ageMillis(kind, now).orElse(Explanation.UNKNOWN);
  }
}
