package org.kumquatplank.core.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.kumquatplank.core.catalog.BackendServer;
import org.kumquatplank.core.catalog.ColdStart;

/**
 * The backend servers that are cold, from what their entries in the list, their responses and other
 * instances say, and the share of this instance in the requests to them.
 *
 * <p>Answers servers that come back cold, one by one or a whole service at once, before 6 to 390
 * instances that all see them idle. It concerns only services that have a {@link ColdStart}. Not
 * thread-safe.
 */
public final class ColdServers {
  private static final long MICROS_PER_MILLI = 1_000;

  /**
   * Time after the first list in which a server that is new there need not be new: servers and
   * instances start together.
   */
  private static final long FIRST_LIST_MICROS = 10_000_000;

  /** Time for which a process is remembered that is no longer listed, microseconds. */
  private static final long MEMORY_MICROS = 300_000_000;

  /**
   * What other instances say counts from this on: their news are older by the time on the way,
   * which must not add up as it goes back and forth.
   */
  private static final long PEER_SLACK_MICROS = 1_000_000;

  private final Settings settings;
  private final Function<String, Optional<ColdStart>> coldStarts;
  private final ColdSenders senders;
  private final Map<String, Entry> entries = new HashMap<>();
  private final List<Change> changes = new ArrayList<>();
  private final List<Entry> limited = new ArrayList<>();
  private final List<Entry> unapplied = new ArrayList<>();
  private long firstListAt = Long.MAX_VALUE;

  /**
   * Settings of an instance.
   *
   * @param self this instance
   * @param regionByFailureDomain region of each failure domain
   * @param overrunRatio multiple of the tolerated rate that a cold server may get
   * @param allowance requests that a cold server may get in a second in addition
   */
  public record Settings(
      Member self,
      Map<String, String> regionByFailureDomain,
      double overrunRatio,
      double allowance) {}

  /** Where it is known from that a server is cold. */
  public enum Source {
    /** Its entry in the list of servers. */
    LIST,
    /** Its entry is new in the list. */
    NEW_IN_LIST,
    /** A response of the server. */
    RESPONSE,
    /** Another instance. */
    PEER
  }

  /**
   * A server that became cold or warm.
   *
   * @param source where it is known from that it is cold, or nothing if it is warm
   */
  public record Change(String id, Optional<Source> source, long remainingMillis) {}

  /** A process of a server. */
  private static final class Entry {
    private final ColdServer state = new ColdServer();
    private BackendServer server;
    private boolean guessed;
    private long listedAt = Long.MIN_VALUE;
    private long designatedVersion = -1;
    private double designatedRate;
    private boolean cold;

    /** Until when it is cold, from news that came before the configuration of its service. */
    private long unappliedUntil = Long.MIN_VALUE;

    Entry(BackendServer server) {
      this.server = server;
    }
  }

  private ColdServers(
      Settings settings, Function<String, Optional<ColdStart>> coldStarts, long startedAt) {
    this.settings = settings;
    this.coldStarts = coldStarts;
    this.senders = new ColdSenders(settings.self(), startedAt);
  }

  /**
   * Returns the servers of an instance that starts.
   *
   * @param coldStarts how the servers of a service behave while they are cold
   */
  public static ColdServers create(
      Settings settings, Function<String, Optional<ColdStart>> coldStarts, long startedAt) {
    return new ColdServers(settings, coldStarts, startedAt);
  }

  /** Takes over the other instances that accept requests. */
  public void setMembers(Collection<Member> live, long now) {
    senders.setLive(live, now);
    update(now);
  }

  /** Takes over the entry of a listed server, and returns its state. */
  public ColdServer onListed(BackendServer server, long now) {
    firstListAt = Math.min(firstListAt, now);
    Entry entry = entries.get(server.id());
    long until = now + server.coldRemainingMillis() * MICROS_PER_MILLI;
    if (entry == null || entry.server.startedMillis() != server.startedMillis()) {
      limited.remove(entry);
      entry = new Entry(server);
      entries.put(server.id(), entry);
      if (until > now) {
        makeCold(entry, until, Source.LIST, now);
      } else if (now > firstListAt + FIRST_LIST_MICROS) {
        long duration =
            coldStarts.apply(server.service()).map(ColdStart::durationMillis).orElse(0L);
        makeCold(entry, now + duration * MICROS_PER_MILLI, Source.NEW_IN_LIST, now);
      }
    } else if (server.coldRemainingMillis() > entry.server.coldRemainingMillis()) {
      // A smaller figure is the same cold time, read later.
      makeCold(entry, Math.max(until, entry.state.coldUntil()), Source.LIST, now);
    }
    entry.server = server;
    entry.listedAt = now;
    return entry.state;
  }

  /** Forgets processes that have not been listed for long. */
  public void onListEnd(long now) {
    entries.values().removeIf(e -> now - e.listedAt > MEMORY_MICROS && !limited.contains(e));
  }

  /** Takes over what a server said in a response; 0 says that it is warm. */
  public void onResponse(BackendServer server, long remainingMillis, long now) {
    Entry entry = entries.get(server.id());
    if (entry != null && entry.server.startedMillis() == server.startedMillis()) {
      makeCold(entry, now + remainingMillis * MICROS_PER_MILLI, Source.RESPONSE, now);
    }
  }

  /** Takes over what another instance knows. */
  public void onPeerNews(Collection<ColdNews> news, long now) {
    for (ColdNews cold : news) {
      Entry entry = entries.get(cold.id());
      if (entry != null
          && entry.server.startedMillis() == cold.startedMillis()
          && cold.coldUntil() > now + PEER_SLACK_MICROS
          && cold.coldUntil() > entry.state.coldUntil() + PEER_SLACK_MICROS) {
        makeCold(entry, cold.coldUntil(), Source.PEER, now);
      }
    }
  }

  private void makeCold(Entry entry, long until, Source source, long now) {
    Optional<ColdStart> start = coldStarts.apply(entry.server.service());
    boolean wasCold = entry.state.isCold(now);
    if (until <= now && !wasCold) {
      return;
    }
    if (start.isEmpty()) {
      entry.unappliedUntil = until;
      if (!unapplied.contains(entry)) {
        unapplied.add(entry);
      }
      return;
    }
    entry.state.setColdUntil(Math.max(until, now));
    entry.guessed = source == Source.NEW_IN_LIST;
    if (!limited.contains(entry)) {
      limited.add(entry);
    }
    if (!wasCold) {
      designate(entry, start.get(), now);
      entry.state.startTurns(entry.listedAt > Long.MIN_VALUE, now);
      entry.cold = true;
      changes.add(
          new Change(entry.server.id(), Optional.of(source), (until - now) / MICROS_PER_MILLI));
    }
  }

  /** Updates the shares of this instance; called a few times a second. */
  private void update(long now) {
    applyEarlierNews(now);
    limited.removeIf(entry -> !entry.state.isLimited(now));
    for (Entry entry : limited) {
      Optional<ColdStart> start = coldStarts.apply(entry.server.service());
      if (start.isEmpty()) {
        entry.state.end();
      } else if (entry.designatedVersion != senders.version()
          || entry.designatedRate != start.get().requestsPerSecond()) {
        designate(entry, start.get(), now);
      }
      if (entry.cold && !entry.state.isCold(now)) {
        entry.cold = false;
        changes.add(new Change(entry.server.id(), Optional.empty(), 0));
      }
    }
  }

  /** Applies news to services whose configuration has come since. */
  private void applyEarlierNews(long now) {
    for (int i = unapplied.size() - 1; i >= 0; i--) {
      Entry entry = unapplied.get(i);
      if (entry.unappliedUntil <= now || entries.get(entry.server.id()) != entry) {
        unapplied.remove(i);
      } else if (coldStarts.apply(entry.server.service()).isPresent()) {
        unapplied.remove(i);
        makeCold(entry, entry.unappliedUntil, Source.LIST, now);
      }
    }
  }

  private void designate(Entry entry, ColdStart start, long now) {
    boolean settled = senders.isSettled(now);
    double bound = start.requestsPerSecond() * settings.overrunRatio() + settings.allowance();
    String domain = entry.server.failureDomain();
    String region = settings.regionByFailureDomain().getOrDefault(domain, "");
    int rank = settled ? senders.rank(entry.server.id(), domain, region) : Integer.MAX_VALUE;
    entry.state.designate(ColdLimit.of(start, bound, senders.count(), senders.mayBeOthers()), rank);
    entry.designatedRate = start.requestsPerSecond();
    // An instance that has not settled looks again.
    entry.designatedVersion = settled ? senders.version() : -1;
  }

  /**
   * Returns the servers that are known to be cold, to tell others.
   *
   * <p>Others assume it themselves of a process that is new in the list. One that was not in touch
   * sees processes late, and must not make them cold for all.
   */
  public List<ColdNews> cold(long now) {
    List<ColdNews> cold = new ArrayList<>();
    for (Entry entry : limited) {
      if (entry.state.isCold(now) && !entry.guessed) {
        cold.add(
            new ColdNews(entry.server.id(), entry.server.startedMillis(), entry.state.coldUntil()));
      }
    }
    return cold;
  }

  /** Returns the servers that became cold or warm since the last call. */
  public List<Change> takeChanges() {
    List<Change> taken = List.copyOf(changes);
    changes.clear();
    return taken;
  }
}
