package org.kumquatplank.bench;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.kumquatplank.core.config.ClientAccount;
import org.kumquatplank.core.config.Configuration;
import org.kumquatplank.core.config.ModelVersion;
import org.kumquatplank.core.config.ModelVersion.Stage;
import org.kumquatplank.core.config.WorkClass;
import org.kumquatplank.core.config.WorkClass.WhenUnmet;
import org.kumquatplank.core.membership.InstanceList;
import org.kumquatplank.core.membership.ListedInstance;

/**
 * A simulated deployment: its size, its workload and its faults.
 *
 * <p>Built by {@link Builder}; immutable. Times are in microseconds since the start.
 */
final class Scenario {
  /** Work class with the longest responses. The small version alone misses its quality target. */
  static final String RETELLING = "retelling";

  static final String TITLE = "title";
  static final String TAG = "tag";

  /** Work class whose first-token target leaves time for a cascade. */
  static final String DRAFT = "draft";

  static final int SLOTS_PER_ENGINE = 8;

  /** Number of instances of the router. */
  static final int INSTANCES = 6;

  /** Placeholder for the credential digest of an account; the simulation does not authenticate. */
  private static final String DUMMY_DIGEST = "0".repeat(64);

  private final Builder settings;

  private Scenario(Builder builder) {
    settings = builder;
  }

  /**
   * The requests of one work class within the traffic.
   *
   * @param workClass name of the work class
   * @param share fraction of all requests
   * @param meanOutputTokens mean length of a usual response
   * @param longOutputRatio fraction of the responses that are far longer than usual
   */
  record TrafficShare(
      String workClass, double share, double meanOutputTokens, double longOutputRatio) {}

  /** Arrival rate of requests as a function of time. */
  interface ArrivalRate {
    double requestsPerSecond(long micros);
  }

  /** Actual mean rating of a version as a function of time. */
  interface QualityModel {
    double quality(VersionProfile version, String workClass, long micros);
  }

  /** Slowdown factor of an engine as a function of time; 1 is normal speed. */
  interface SlowdownModel {
    double factor(int engine, long micros);
  }

  /** Builds a scenario. Not thread-safe. */
  static final class Builder {
    private String deployment = "kkumgyeol";
    private int engines = 6;
    private long durationMicros = 120_000_000;
    private ArrivalRate arrivalRate = t -> 20;
    private List<TrafficShare> trafficMix = defaultTrafficMix();
    private List<VersionProfile> versions = defaultVersions();
    private Map<String, Stage> stages = new HashMap<>();
    private QualityModel quality = (v, c, t) -> v.quality(c);
    private SlowdownModel slowdown = (e, t) -> 1;
    private int accounts = 10;
    private double firstAccountShare = 0.2;

    Builder deployment(String name, int engineCount) {
      deployment = name;
      engines = engineCount;
      return this;
    }

    Builder durationMicros(long micros) {
      durationMicros = micros;
      return this;
    }

    Builder arrivalRate(ArrivalRate newRate) {
      arrivalRate = newRate;
      return this;
    }

    Builder trafficMix(List<TrafficShare> newMix) {
      trafficMix = List.copyOf(newMix);
      return this;
    }

    Builder versions(List<VersionProfile> newVersions) {
      versions = List.copyOf(newVersions);
      return this;
    }

    Builder stage(String version, Stage stage) {
      stages.put(version, stage);
      return this;
    }

    Builder quality(QualityModel newQuality) {
      quality = newQuality;
      return this;
    }

    Builder slowdown(SlowdownModel newSlowdown) {
      slowdown = newSlowdown;
      return this;
    }

    /**
     * Sets the number of accounts.
     *
     * @param firstShare fraction of the requests that the first account sends in addition to its
     *     even share of the others
     */
    Builder accounts(int count, double firstShare) {
      accounts = count;
      firstAccountShare = firstShare;
      return this;
    }

    Scenario create() {
      return new Scenario(this);
    }
  }

  static Builder builder() {
    return new Builder();
  }

  static List<TrafficShare> defaultTrafficMix() {
    return List.of(
        new TrafficShare(RETELLING, 0.1, 150, 0.05),
        new TrafficShare(TITLE, 0.3, 8, 0),
        new TrafficShare(TAG, 0.4, 3, 0),
        new TrafficShare(DRAFT, 0.2, 40, 0));
  }

  static List<VersionProfile> defaultVersions() {
    return List.of(
        new VersionProfile(
            "small@1", 6_000, Map.of(RETELLING, 0.60, TITLE, 0.85, TAG, 0.90, DRAFT, 0.75)),
        new VersionProfile(
            "large@1", 15_000, Map.of(RETELLING, 0.93, TITLE, 0.95, TAG, 0.95, DRAFT, 0.95)));
  }

  private static List<WorkClass> classes() {
    return List.of(
        new WorkClass(RETELLING, 0.85, 560, 60_000, 10_000_000, WhenUnmet.BEST),
        new WorkClass(TITLE, 0.78, 560, 4_000, 10_000_000, WhenUnmet.BEST),
        new WorkClass(TAG, 0.78, 560, 2_000, 10_000_000, WhenUnmet.BEST),
        new WorkClass(DRAFT, 0.85, 8_000, 30_000, 10_000_000, WhenUnmet.BEST));
  }

  String deployment() {
    return settings.deployment;
  }

  int engines() {
    return settings.engines;
  }

  long durationMicros() {
    return settings.durationMicros;
  }

  ArrivalRate arrivalRate() {
    return settings.arrivalRate;
  }

  List<TrafficShare> trafficMix() {
    return settings.trafficMix;
  }

  QualityModel quality() {
    return settings.quality;
  }

  SlowdownModel slowdown() {
    return settings.slowdown;
  }

  int accounts() {
    return settings.accounts;
  }

  double firstAccountShare() {
    return settings.firstAccountShare;
  }

  VersionProfile version(String name) {
    return settings.versions.stream().filter(v -> v.name().equals(name)).findFirst().orElseThrow();
  }

  List<VersionProfile> versions() {
    return settings.versions;
  }

  /** Returns the configuration; the price of a version grows with the square of its token time. */
  Configuration configuration() {
    List<ClientAccount> accounts = new ArrayList<>();
    for (int i = 0; i < settings.accounts; i++) {
      accounts.add(
          new ClientAccount("account-" + i, DUMMY_DIGEST, Set.of(), Set.of("*"), Set.of()));
    }
    List<ModelVersion> models = new ArrayList<>();
    for (VersionProfile v : settings.versions) {
      long price = Math.round(v.microsPerToken() * v.microsPerToken() / 36);
      Stage stage = settings.stages.getOrDefault(v.name(), Stage.LIVE);
      models.add(new ModelVersion(v.name(), price, 4 * price, stage));
    }
    return Configuration.of(1, classes(), accounts, models, List.of());
  }

  /**
   * Returns the instance list. Half of the engines serve the cheapest version, the other half serve
   * all other versions.
   */
  InstanceList instances() {
    List<ListedInstance> engines = new ArrayList<>();
    Set<String> cheapest = Set.of(settings.versions.get(0).name());
    List<String> others = settings.versions.stream().skip(1).map(VersionProfile::name).toList();
    for (int i = 0; i < settings.engines; i++) {
      Set<String> served = i % 2 == 0 ? cheapest : Set.copyOf(others);
      engines.add(
          new ListedInstance(
              "engine-" + i,
              ListedInstance.Role.ENGINE,
              "",
              "127.0.0.1",
              1,
              0,
              "domain-" + i % 3,
              "region",
              false,
              served));
    }
    return new InstanceList(engines);
  }
}
