package org.bulrushpier.order;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import org.bulrushpier.Deployment;
import org.bulrushpier.Upstream;
import org.bulrushpier.settings.Settings;

/**
 * The assignment of weight versions to the engines of a model, as the settings require.
 *
 * <pre>{@code
 * OrderPlan plan = OrderPlan.of("checklist-8b", settings);
 * plan.assignments(); // engine-1 -> 8, engine-2 -> 8
 * }</pre>
 *
 * <p>If deployments use several versions of a model, its engines are divided evenly among them in
 * the order of their names, so that every entry computes the same plan. Immutable and thread-safe.
 *
 * @param model the model
 * @param assignments the assignments, sorted by engine name
 */
public record OrderPlan(String model, List<Assignment> assignments) {

  /** Makes an immutable copy of the assignments. */
  public OrderPlan {
    assignments = List.copyOf(assignments);
  }

  /**
   * The weight version that an engine must serve. Immutable and thread-safe.
   *
   * @param engine the engine
   * @param weightVersion the weight version
   */
  public record Assignment(Upstream.Engine engine, String weightVersion) {}

  /**
   * Computes the plan for a model.
   *
   * @param model the model
   * @param settings the settings in force
   * @return the plan, without assignments if no deployment uses the model
   */
  public static OrderPlan of(String model, Settings settings) {
    TreeSet<String> versions = new TreeSet<>();
    for (Deployment deployment : settings.deployments().values()) {
      if (deployment.model().equals(model)) {
        versions.add(deployment.weightVersion());
      }
    }
    List<String> sortedVersions = List.copyOf(versions);
    List<Assignment> assignments = new ArrayList<>();
    List<Upstream.Engine> engines = settings.engines(model);
    for (int i = 0; i < engines.size() && !sortedVersions.isEmpty(); i++) {
      assignments.add(
          new Assignment(engines.get(i), sortedVersions.get(i % sortedVersions.size())));
    }
    return new OrderPlan(model, assignments);
  }

  /**
   * Returns the models that are used by deployments.
   *
   * @param settings the settings in force
   * @return the models, sorted
   */
  public static List<String> models(Settings settings) {
    TreeSet<String> models = new TreeSet<>();
    settings.deployments().values().forEach(deployment -> models.add(deployment.model()));
    return List.copyOf(models);
  }

  /**
   * Returns a text that identifies the plan. Plans of a model with equal assignments have equal
   * signatures.
   *
   * @return the engines with their weight versions
   */
  public String signature() {
    StringBuilder text = new StringBuilder();
    assignments.forEach(
        assignment ->
            text.append(assignment.engine().name())
                .append('=')
                .append(assignment.weightVersion())
                .append(' '));
    return text.toString().strip();
  }
}
