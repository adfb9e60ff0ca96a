package org.kumquatplank.core.config;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;

class ConfigReaderTest {
  @Example
  void testAllFindingsAreReportedTogetherWithTheirPlaces() {
    String text =
        """
        {
          "classes": [{"name": "tag", "quality": 2, "firstTokenMillis": 0, "finishMillis": 1,
            "maxCostMicros": 1, "whenUnmet": "SOON"}],
          "accounts": [{"name": "hq", "credentialSha256": "x", "classes": ["title"]}],
          "weights": []
        }
        """;
    assertThat(ConfigReader.read(text).findings().stream().map(Finding::toString))
        .containsExactly(
            "line 5 column 15 $.weights: unknown field \"weights\"; allowed fields are classes,"
                + " accounts, versions, services",
            "line 2 column 43 $.classes[0].quality: a number from 0 to 1 is expected",
            "line 2 column 66 $.classes[0].firstTokenMillis: a whole number from 1 to 3600000 is"
                + " expected",
            "line 3 column 39 $.classes[0].whenUnmet: one of BEST, REFUSE is expected",
            "line 4 column 52 $.accounts[0].credentialSha256: is expected: 64 lower case hexadecimal"
                + " digits",
            "line 4 column 68 $.accounts[0].classes: \"title\" is not defined");
  }

  @Example
  void testTextThatIsNotJsonHasOneFindingWithItsPlace() {
    ConfigReadResult result = ConfigReader.read("{\"classes\": [}");
    assertThat(result.findings()).hasSize(1);
    assertThat(result.findings().get(0).place()).startsWith("line 1 column ");
  }

  @Example
  void testDocumentRoundTrip() {
    Configuration configuration =
        Configuration.of(
            0,
            java.util.List.of(
                new WorkClass("tag", 0.7, 500, 2000, 100, WorkClass.WhenUnmet.REFUSE)),
            java.util.List.of(),
            java.util.List.of(new ModelVersion("small@1", 1, 2, ModelVersion.Stage.TRIAL)),
            java.util.List.of());
    assertThat(ConfigReader.read(ConfigCodec.toDocument(configuration)).configuration())
        .contains(configuration);
  }
}
