package org.kumquatplank.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Example;

class RepresentativesTest {
  @Example
  void testFirstThreeByNameAreRepresentatives() {
    List<String> names = List.of("a", "b", "c", "d", "e");
    List<String> found =
        names.stream()
            .filter(
                self ->
                    Representatives.isOneOf(
                        self, names.stream().filter(n -> !n.equals(self)).toList()))
            .toList();
    assertThat(found).containsExactly("a", "b", "c");
  }

  @Example
  void testNextOneReplacesALostRepresentative() {
    assertThat(Representatives.isOneOf("d", List.of("a", "b", "c"))).isFalse();
    assertThat(Representatives.isOneOf("d", List.of("a", "c"))).isTrue();
  }

  @Example
  void testInstanceWithoutPeersIsARepresentative() {
    assertThat(Representatives.isOneOf("z", List.of())).isTrue();
  }
}
