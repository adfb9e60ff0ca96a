package org.kumquatplank.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import net.jqwik.api.Example;
import org.kumquatplank.core.config.Finding;

class SettingsReaderTest {
  private static final Map<String, String> SECRETS =
      Map.of(
          "KUMQUATPLANK_ADMIN_TOKEN", "0123456789abcdef",
          "KUMQUATPLANK_PEER_SECRET", "0123456789abcdef");

  @Example
  void testDefaultsAreAccepted() {
    SettingsReader.Result result = SettingsReader.read(Map.of(), SECRETS);
    assertThat(result.findings()).isEmpty();
    assertThat(result.settings().orElseThrow().listen().port()).isEqualTo(7100);
  }

  @Example
  void testAllErrorsAreReportedWithFlagOrVariable() {
    SettingsReader.Result result =
        SettingsReader.read(
            Map.of(Setting.LISTEN, "nowhere", Setting.CLAIM_PARTITIONS, "0"),
            Map.of("KUMQUATPLANK_REGION", "a b"));
    assertThat(result.findings().stream().map(Finding::place))
        .containsExactly(
            "--listen",
            "KUMQUATPLANK_REGION",
            "--claim-partitions",
            "KUMQUATPLANK_ADMIN_TOKEN or --admin-token-file",
            "KUMQUATPLANK_PEER_SECRET or --peer-secret-file");
  }

  @Example
  void testFlagTakesPrecedenceOverVariable() {
    SettingsReader.Result result = SettingsReader.read(Map.of(Setting.REGION, "kigali"), SECRETS);
    assertThat(result.settings().orElseThrow().region()).isEqualTo("kigali");
  }

  @Example
  void testEachProcessHasUniqueId() {
    String first = SettingsReader.read(Map.of(), SECRETS).settings().orElseThrow().instance();
    String second = SettingsReader.read(Map.of(), SECRETS).settings().orElseThrow().instance();
    assertThat(first).isNotEqualTo(second);
  }
}
