package org.kumquatplank.cli;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;

class LogStoryTest {
  private final LogStory story = LogStory.of("a1");

  private static String line(long millis, String id, String message, String more) {
    return "{\"timestamp\":"
        + millis
        + ",\"kvpList\": [{\"id\":\""
        + id
        + "\"}"
        + more
        + "],\"message\":\""
        + message
        + "\"}";
  }

  @Example
  void testTellsOneRequestInOrderOfTimeOverAllInstances() {
    story.add("front-2 " + line(30, "a1", "done", ",{\"outcome\":\"answered\"}"));
    story.add("front-1 " + line(10, "a1", "repeat", ",{\"reason\":\"reset\"},{\"sends\":\"1\"}"));
    story.add(line(11, "a2", "repeat", ",{\"reason\":\"a1\"}"));
    story.add("no JSON at all about a1");
    assertThat(story.tell())
        .containsExactly(
            "+0 ms  front-1 repeat reason=reset sends=1", "+20 ms  front-2 done outcome=answered");
  }

  @Example
  void testCountsWhatCannotBeRead() {
    story.add("{\"timestamp\":1,\"kvpList\":[{\"id\":\"a1\"");
    assertThat(story.tell()).isEmpty();
    assertThat(story.unreadable()).isEqualTo(1);
  }
}
