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

/** A user's size, the workload, and what goes wrong. Built by {@link Builder}; immutable. */
final class Scenario {
  static final String RETELLING = "retelling";
  static final String TITLE = "title";
  static final String TAG = "tag";
  static final String DRAFT = "draft";
  static final int SLOTS = 8;
  static final int INSTANCES = 6;
  private static final String NO_DIGEST = "0".repeat(64);

  private final Builder b;

  private Scenario(Builder builder) {
    b = builder;
  }

  /** One part of the mix. */
  record Mix(String workClass, double share, double meanTokens, double longShare) {}

  /** A rate of arrivals from a time on. */
  interface Rate {
    double perSecond(long micros);
  }

  /** True quality at a time. */
  interface QualityAt {
    double quality(VersionProfile version, String workClass, long micros);
  }

  /** Slowness of an engine at a time; 1 is usual. */
  interface Slowness {
    double factor(int engine, long micros);
  }

  /** Collects the parts of a scenario. */
  static final class Builder {
    private String user = "kkumgyeol";
    private int engines = 6;
    private long duration = 120_000_000;
    private Rate rate = t -> 20;
    private List<Mix> mix = defaultMix();
    private List<VersionProfile> versions = defaultVersions();
    private Map<String, Stage> stages = new HashMap<>();
    private QualityAt quality = (v, c, t) -> v.quality(c);
    private Slowness slowness = (e, t) -> 1;
    private int accounts = 10;
    private double greedyShare = 0.2;

    Builder user(String name, int engineCount) {
      user = name;
      engines = engineCount;
      return this;
    }

    Builder duration(long micros) {
      duration = micros;
      return this;
    }

    Builder rate(Rate newRate) {
      rate = newRate;
      return this;
    }

    Builder mix(List<Mix> newMix) {
      mix = List.copyOf(newMix);
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

    Builder quality(QualityAt newQuality) {
      quality = newQuality;
      return this;
    }

    Builder slowness(Slowness newSlowness) {
      slowness = newSlowness;
      return this;
    }

    Builder accounts(int count, double shareOfTheFirst) {
      accounts = count;
      greedyShare = shareOfTheFirst;
      return this;
    }

    Scenario create() {
      return new Scenario(this);
    }
  }

  static Builder builder() {
    return new Builder();
  }

  static List<Mix> defaultMix() {
    return List.of(
        new Mix(RETELLING, 0.1, 150, 0.05),
        new Mix(TITLE, 0.3, 8, 0),
        new Mix(TAG, 0.4, 3, 0),
        new Mix(DRAFT, 0.2, 40, 0));
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

  String user() {
    return b.user;
  }

  int engines() {
    return b.engines;
  }

  long duration() {
    return b.duration;
  }

  Rate rate() {
    return b.rate;
  }

  List<Mix> mix() {
    return b.mix;
  }

  QualityAt quality() {
    return b.quality;
  }

  Slowness slowness() {
    return b.slowness;
  }

  int accounts() {
    return b.accounts;
  }

  double greedyShare() {
    return b.greedyShare;
  }

  VersionProfile version(String name) {
    return b.versions.stream().filter(v -> v.name().equals(name)).findFirst().orElseThrow();
  }

  List<VersionProfile> versions() {
    return b.versions;
  }

  Configuration configuration() {
    List<ClientAccount> all = new ArrayList<>();
    for (int i = 0; i < b.accounts; i++) {
      all.add(new ClientAccount("account-" + i, NO_DIGEST, Set.of(), Set.of("*"), Set.of()));
    }
    List<ModelVersion> models = new ArrayList<>();
    for (VersionProfile v : b.versions) {
      long price = Math.round(v.tokenMicros() * v.tokenMicros() / 36);
      Stage stage = b.stages.getOrDefault(v.name(), Stage.LIVE);
      models.add(new ModelVersion(v.name(), price, 4 * price, stage));
    }
    return Configuration.of(1, classes(), all, models, List.of());
  }

  /** Returns the list: half of the engines serve the cheapest version, half the others. */
  InstanceList instances() {
    List<ListedInstance> list = new ArrayList<>();
    Set<String> cheap = Set.of(b.versions.get(0).name());
    List<String> others = b.versions.stream().skip(1).map(VersionProfile::name).toList();
    for (int i = 0; i < b.engines; i++) {
      Set<String> served = i % 2 == 0 ? cheap : Set.copyOf(others);
      list.add(
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
    return new InstanceList(list);
  }
}
