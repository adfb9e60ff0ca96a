package org.kumquatplank.edge;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import org.kumquatplank.edge.EntryAddresses.Instance;

class EntryAddressesTest {
  private static final Instance N1 = new Instance("n1:1", "north-a", "north");
  private static final Instance N2 = new Instance("n2:1", "north-a", "north");
  private static final Instance N3 = new Instance("n3:1", "north-b", "north");
  private static final Instance S1 = new Instance("s1:1", "south-a", "south");

  private final EntryAddresses addresses = new EntryAddresses();

  @Example
  void testOwnFailureDomainComesFirst() {
    addresses.set(List.of(S1, N3, N2, N1));
    assertThat(addresses.addressesFor("north-a", "north")).containsExactly("n2:1", "n1:1");
  }

  @Example
  void testSingleInstanceIsJoinedByThoseOfItsRegion() {
    addresses.set(List.of(S1, N3, N1));
    assertThat(addresses.addressesFor("north-a", "north")).containsExactly("n1:1", "n3:1");
  }

  /** A request that is bound to its region must not be sent into another for want of a second. */
  @Example
  void testOtherRegionIsNotNamedBesideTheOnlyInstanceOfTheOwnOne() {
    addresses.set(List.of(S1, N1));
    assertThat(addresses.addressesFor("north-a", "north")).containsExactly("n1:1");
    assertThat(addresses.addressesFor("north-b", "north")).containsExactly("n1:1");
  }

  @Example
  void testOtherRegionsAreNamedIfTheOwnOneHasNoInstance() {
    addresses.set(List.of(S1));
    assertThat(addresses.addressesFor("north-a", "north")).containsExactly("s1:1");
    addresses.set(List.of(S1, N1));
    assertThat(addresses.addressesFor("west-a", "west")).containsExactly("s1:1", "n1:1");
    addresses.set(List.of());
    assertThat(addresses.addressesFor("north-a", "north")).isEmpty();
  }

  @Example
  void testNumberOfAddressesIsBounded() {
    addresses.set(
        IntStream.range(0, 100).mapToObj(i -> new Instance("n" + i, "north-a", "north")).toList());
    assertThat(addresses.addressesFor("north-a", "north")).hasSize(64);
  }
}
