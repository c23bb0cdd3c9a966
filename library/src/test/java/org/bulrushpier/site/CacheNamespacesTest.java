package org.bulrushpier.site;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class CacheNamespacesTest {

  /** Guards against parts of a customer that others found after it had been isolated. */
  @Property
  void partsOfAnIsolatedCustomerAreNeverFoundByOthers(
      @ForAll @Size(min = 1, max = 8) List<@Size(max = 3) Set<Customer>> configurations) {
    Map<String, Set<Customer>> makers = new HashMap<>();
    for (Set<Customer> isolated : configurations) {
      CacheNamespaces namespaces =
          CacheNamespaces.of(isolated.stream().map(Customer::name).toList());
      for (Customer customer : Customer.values()) {
        String namespace = namespaces.namespace(customer.name());
        Set<Customer> found = makers.computeIfAbsent(namespace, key -> new HashSet<>());
        found.add(customer);
        assertThat(found)
            .allMatch(
                maker ->
                    maker == customer
                        || (!isolated.contains(maker) && !isolated.contains(customer)));
      }
    }
  }

  /** Customers of the property; few, so that sets of isolated ones return. */
  enum Customer {
    ATE,
    BARRANCO,
    COMAS,
    SURCO
  }

  @Test
  void namespacesAreEqualForEqualSetsInAnyOrder() {
    CacheNamespaces first = CacheNamespaces.of(List.of("ate", "surco"));
    CacheNamespaces second = CacheNamespaces.of(List.of("surco", "ate"));

    assertThat(first.namespace("comas")).isEqualTo(second.namespace("comas"));
    assertThat(first.namespace("ate")).isNotEqualTo(first.namespace("surco"));
  }

  @Test
  void customerCannotBeNamedLikeSharedNamespace() {
    String shared = CacheNamespaces.of(Set.of("surco")).namespace("comas");
    CacheNamespaces namespaces = CacheNamespaces.of(Set.of(shared, "surco"));

    assertThat(namespaces.namespace(shared)).isNotEqualTo(shared);
  }

  @Test
  void outdatedNamespaceIsThatOfOneCustomerAlone() {
    CacheNamespaces namespaces = CacheNamespaces.of(Set.of("surco"));

    assertThat(CacheNamespaces.outdatedNamespace("comas"))
        .isNotEqualTo(CacheNamespaces.outdatedNamespace(""))
        .isNotEqualTo(CacheNamespaces.outdatedNamespace("surco"))
        .isNotEqualTo(namespaces.namespace("comas"))
        .isNotEqualTo(namespaces.namespace("surco"));
  }

  @Test
  void promptsShareNoPartsWithPromptsOfOtherHomes() {
    CacheNamespaces namespaces = CacheNamespaces.of(Set.of("surco"));
    List<String> customers =
        List.of(
            namespaces.namespace("surco"),
            namespaces.namespace("comas"),
            CacheNamespaces.outdatedNamespace("comas"));
    List<Homes> homes =
        List.of(
            Homes.EVERYWHERE,
            Homes.of(Set.of("lima")),
            Homes.of(Set.of("cusco")),
            Homes.of(Set.of("lima", "cusco")));

    List<String> names =
        customers.stream()
            .flatMap(name -> homes.stream().map(h -> CacheNamespaces.within(name, h)))
            .toList();

    assertThat(names).doesNotHaveDuplicates();
    assertThat(names).containsAll(customers);
  }
}
