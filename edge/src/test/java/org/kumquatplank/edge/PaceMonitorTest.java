package org.kumquatplank.edge;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Example;
import org.kumquatplank.core.catalog.BackendServer;
import org.kumquatplank.core.dispatch.BackendRegistry;
import org.kumquatplank.core.pace.PaceReport;

class PaceMonitorTest {
  private final BackendRegistry registry = BackendRegistry.create();
  private final EdgeMetrics metrics = new EdgeMetrics();
  private final PaceMonitor monitor = new PaceMonitor(registry, metrics, true);

  /** Without the setting, servers count as usual whatever peers report. */
  @Example
  void testIsOffWhereTheSettingDoesNotAskForIt() {
    registry.setServers(
        List.of(new BackendServer("s1", 1, "pool", "127.0.0.1", 1, "a", "v1", 16, 0, false)));
    PaceMonitor off = new PaceMonitor(registry, metrics, EdgeOptions.DEFAULT.learnsPace());
    for (int peer = 0; peer < 6; peer++) {
      off.add("i" + peer, List.of(new PaceReport("s1", 1, 200, 6, 6)));
    }
    assertThat(off.update(Clock.micros())).isEmpty();
    assertThat(registry.forService("pool").get(0).slowdownFactor(Clock.micros())).isEqualTo(1);
    assertThat(metrics.text()).doesNotContain("kumquatplank_backends_slow");
  }

  @Example
  void testMetricsCountServersThatDiffer() {
    registry.setServers(
        List.of(
            new BackendServer("s1", 1, "pool", "127.0.0.1", 1, "a", "v1", 16, 0, false),
            new BackendServer("s2", 1, "pool", "127.0.0.1", 2, "a", "v1", 16, 0, false)));
    monitor.update(Clock.micros());
    assertThat(metrics.text())
        .contains("kumquatplank_backends_slow 0\n", "kumquatplank_backends_limited 0\n");

    for (int peer = 0; peer < 6; peer++) {
      monitor.add("i" + peer, List.of(new PaceReport("s1", 1, 200, 6, 6)));
    }
    List<PaceReport> own = monitor.update(Clock.micros());
    assertThat(own).isEmpty();
    assertThat(metrics.text())
        .contains("kumquatplank_backends_slow 1\n", "kumquatplank_backends_limited 1\n");

    registry.setServers(List.of());
    monitor.update(Clock.micros());
    assertThat(metrics.text())
        .contains("kumquatplank_backends_slow 0\n", "kumquatplank_backends_limited 0\n");
  }
}
