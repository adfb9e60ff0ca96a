package org.kumquatplank.core.pace;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.kumquatplank.core.catalog.BackendServer;
import org.kumquatplank.core.catalog.ServiceInfo;
import org.kumquatplank.core.dispatch.BackendRegistry;
import org.kumquatplank.core.dispatch.BackendSelector;
import org.kumquatplank.core.dispatch.BackendState;
import org.kumquatplank.core.dispatch.DispatchRequest;
import org.kumquatplank.core.dispatch.LoadReport;
import org.kumquatplank.core.dispatch.Locality;
import org.kumquatplank.core.dispatch.PeerLoad;
import org.kumquatplank.core.dispatch.PrefillRate;
import org.kumquatplank.core.dispatch.Samples;
import org.kumquatplank.core.dispatch.VersionRule;

/**
 * Simulation of instances that share the backend servers of a plain service.
 *
 * <p>Each instance has its own view of the servers. Digests with loads and paces go to six random
 * peers twice a second, and three of ten are lost. Servers queue what exceeds their slots.
 */
final class PaceSimulation {
  static final int SLOTS = 10;
  static final long SECOND = 1_000_000;
  private static final int FEW_SERVERS = 6;
  private static final double SHORT_WORK_MICROS = 40_000;
  private static final double WORK_SPREAD = 0.4;
  private static final double LOSS_RATIO = 0.3;
  private static final int FAN_OUT = 6;
  private static final long RETRY_MICROS = 20_000;
  private static final ServiceInfo SERVICE =
      new ServiceInfo("desk", 100_000, Optional.empty(), Map.of());

  private final Random random;
  private final boolean learning;
  private final double workMicros;
  private final Speed speed;
  private final List<Instance> instances = new ArrayList<>();
  private final List<Server> servers = new ArrayList<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::at));
  private final List<Response> responses = new ArrayList<>();
  private final double arrivalsPerSecond;
  private long end;
  private int maxWaits;

  /** Time that work takes as a multiple of the usual one. */
  @FunctionalInterface
  interface Speed {
    double slowdown(int server, int running, long now);
  }

  /** A response of a server. */
  record Response(int server, long sentAt, long micros) {}

  private record Event(long at, Runnable action) {}

  private static final class Server {
    private int running;
    private final Deque<Runnable> queue = new ArrayDeque<>();
  }

  private static final class Instance {
    private final BackendRegistry registry = BackendRegistry.create();
    private final BackendSelector selector =
        BackendSelector.create(new Locality("a", Map.of("a", "r")), new PrefillRate());
  }

  private PaceSimulation(
      int instanceCount,
      int serverCount,
      double utilization,
      double workMicros,
      boolean learning,
      Speed speed,
      long seed) {
    random = new Random(seed);
    this.learning = learning;
    this.workMicros = workMicros;
    this.speed = speed;
    arrivalsPerSecond = utilization * serverCount * SLOTS * SECOND / workMicros;
    List<BackendServer> list = IntStream.range(0, serverCount).mapToObj(i -> server(i, 1)).toList();
    for (int i = 0; i < serverCount; i++) {
      servers.add(new Server());
    }
    for (int i = 0; i < instanceCount; i++) {
      Instance instance = new Instance();
      instance.registry.setServers(list);
      instances.add(instance);
    }
  }

  static BackendServer server(int index, long startedMillis) {
    return new BackendServer(
        "s" + index, startedMillis, "desk", "127.0.0.1", 1, "a", "v1", SLOTS, 0, false);
  }

  /** Plays a service at an even load and returns the simulation at its end. */
  static PaceSimulation run(
      int instances, double utilization, long seconds, boolean learning, Speed speed) {
    PaceSimulation simulation =
        new PaceSimulation(
            instances, FEW_SERVERS, utilization, SHORT_WORK_MICROS, learning, speed, 7);
    simulation.play(seconds * SECOND);
    return simulation;
  }

  /** Plays a service of many servers, of which an instance sees each once in many seconds. */
  static PaceSimulation runManyServers(boolean learning, Speed speed) {
    PaceSimulation simulation =
        new PaceSimulation(40, 40, 0.5, 15 * SHORT_WORK_MICROS, learning, speed, 7);
    simulation.play(40 * SECOND);
    return simulation;
  }

  private void play(long until) {
    end = until;
    schedule(0, this::arrive);
    for (int i = 0; i < instances.size(); i++) {
      int index = i;
      schedule((long) (random.nextDouble() * SECOND / 2), () -> sendDigest(index));
    }
    while (!events.isEmpty() && events.peek().at <= until) {
      Event event = events.poll();
      now = event.at;
      event.action.run();
    }
  }

  private long now;

  private void schedule(long at, Runnable action) {
    events.add(new Event(at, action));
  }

  private void arrive() {
    Instance instance = instances.get(random.nextInt(instances.size()));
    dispatch(instance, Samples.request(Samples.safe(), "r" + now), now, 0);
    double gap = -Math.log(1 - random.nextDouble()) * SECOND / arrivalsPerSecond;
    schedule(now + Math.max(1, (long) gap), this::arrive);
  }

  private void dispatch(Instance instance, DispatchRequest request, long arrivedAt, int waits) {
    maxWaits = Math.max(maxWaits, waits);
    BackendSelector.Constraints constraints =
        new BackendSelector.Constraints(
            SERVICE,
            Optional.empty(),
            new VersionRule.Any(),
            Samples.ANYWHERE,
            Set.of(),
            instances.size());
    Optional<BackendSelector.Selection> selected =
        instance.selector.select(instance.registry.forService("desk"), request, constraints, now);
    if (selected.isEmpty()) {
      schedule(now + RETRY_MICROS, () -> dispatch(instance, request, arrivedAt, waits + 1));
      return;
    }
    BackendSelector.Selection selection = selected.get();
    selection.backend().requestStarted(0);
    int index = Integer.parseInt(selection.backend().server().id().substring(1));
    long sentAt = now;
    Runnable start =
        () -> {
          Server server = servers.get(index);
          server.running++;
          double work = workMicros * Math.exp(WORK_SPREAD * random.nextGaussian());
          long micros = (long) (work * speed.slowdown(index, server.running, now));
          schedule(
              now + micros, () -> complete(instance, selection, request, sentAt, arrivedAt, index));
        };
    if (servers.get(index).running < SLOTS) {
      start.run();
    } else {
      servers.get(index).queue.add(start);
    }
  }

  private void complete(
      Instance instance,
      BackendSelector.Selection selection,
      DispatchRequest request,
      long sentAt,
      long arrivedAt,
      int index) {
    Server server = servers.get(index);
    server.running--;
    if (!server.queue.isEmpty()) {
      server.queue.poll().run();
    }
    BackendState state = selection.backend();
    state.recordLoadReport(new LoadReport(server.running, server.queue.size(), SLOTS, 1, now));
    if (learning) {
      instance.selector.recordPace(selection, request, Optional.empty(), now - sentAt, now);
    }
    state.requestEnded();
    responses.add(new Response(index, sentAt, now - arrivedAt));
  }

  private void sendDigest(int sender) {
    BackendRegistry own = instances.get(sender).registry;
    List<PeerLoad> loads =
        own.all().stream()
            .filter(s -> s.inFlightRequests() > 0)
            .map(s -> new PeerLoad(s.server().id(), s.inFlightRequests(), 0, false))
            .toList();
    List<PaceReport> paces = learning ? own.ownPaces(now) : List.of();
    for (int i = 0; i < FAN_OUT; i++) {
      int receiver = random.nextInt(instances.size());
      if (receiver != sender && random.nextDouble() >= LOSS_RATIO) {
        instances.get(receiver).registry.setPeerLoads("i" + sender, loads, now);
        instances.get(receiver).registry.addPaces("i" + sender, paces, now);
      }
    }
    schedule(now + SECOND / 2, () -> sendDigest(sender));
  }

  /** Returns the share of the requests sent in a period, in seconds, that each server got. */
  double[] shares(double fromSecond, double toSecond) {
    double[] counts = new double[servers.size()];
    responses.stream()
        .filter(r -> r.sentAt >= fromSecond * SECOND && r.sentAt < toSecond * SECOND)
        .forEach(r -> counts[r.server]++);
    double total = Arrays.stream(counts).sum();
    return Arrays.stream(counts).map(c -> c / total).toArray();
  }

  /** Returns the mean latency of the requests sent from a second on, milliseconds. */
  double meanMillis(double fromSecond) {
    return responses.stream()
            .filter(r -> r.sentAt >= fromSecond * SECOND)
            .mapToLong(Response::micros)
            .average()
            .orElseThrow()
        / 1_000;
  }

  /** Returns the share of the requests sent from a second on that took longer than a time. */
  double lateShare(double fromSecond, long millis) {
    long all = responses.stream().filter(r -> r.sentAt >= fromSecond * SECOND).count();
    return responses.stream()
            .filter(r -> r.sentAt >= fromSecond * SECOND && r.micros > millis * 1_000)
            .count()
        / (double) all;
  }

  /** Returns what each instance has learned of a server at the end. */
  List<BackendState> states(int server) {
    return instances.stream()
        .flatMap(i -> i.registry.all().stream())
        .filter(s -> s.server().id().equals("s" + server))
        .toList();
  }

  /** Returns the mean slowdown that the instances expect of a server at the end. */
  double meanSlowdown(int server) {
    return states(server).stream()
        .mapToDouble(s -> s.pace().slowdown(() -> 1, SLOTS, end))
        .average()
        .orElseThrow();
  }

  /** Returns the mean limit that the instances have learned of a server at the end. */
  double meanLimit(int server) {
    return states(server).stream()
        .mapToDouble(s -> s.pace().limit(SLOTS, end))
        .average()
        .orElseThrow();
  }

  /** Returns the largest number of times that a request had to wait for capacity. */
  int maxWaits() {
    return maxWaits;
  }
}
