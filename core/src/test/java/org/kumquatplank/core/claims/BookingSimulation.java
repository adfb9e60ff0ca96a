package org.kumquatplank.core.claims;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.kumquatplank.core.claims.ClaimEntry.Claimed;
import org.kumquatplank.core.claims.ClaimEntry.Settled;
import org.kumquatplank.core.error.ExecutionStatus;
import org.kumquatplank.core.error.RouterException;
import org.kumquatplank.core.log.FakeLog;
import org.kumquatplank.core.time.FakeTime;
import org.kumquatplank.core.time.SeedSearch;

/**
 * Simulation of several instances, one log and one booking service, determined by a seed.
 *
 * <p>At every step of a booking another submission may run, the instance may crash or be paused,
 * the log may fail or recover, and delayed appends may take effect. The history is kept for the
 * checks.
 */
final class BookingSimulation {
  private static final int KEY_COUNT = 3;
  private static final int MAX_DEPTH = 3;
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(5);

  /** Replaces a part of the implementation with a faulty one, to show that the checks detect it. */
  interface Variant {
    default ClaimStore claims(BookingSimulation simulation, ClaimStore real) {
      return real;
    }

    default Outcome dispatched(Outcome real) {
      return real;
    }
  }

  /** One call of a caller and its result. */
  static final class Submission {
    final ClaimKey key;
    final String body;
    int dispatches;
    Optional<ExecutionStatus> reportedStatus = Optional.empty();
    Optional<Outcome.Answered> response = Optional.empty();
    boolean instanceCrashed;

    Submission(ClaimKey key, String body) {
      this.key = key;
      this.body = body;
    }
  }

  /** Ends the submission in progress because its instance crashed. */
  private static final class InstanceCrash extends Error {
    private static final long serialVersionUID = 1L;
  }

  final FakeTime time = new FakeTime();
  final FakeLog log;
  final Map<ClaimKey, Integer> runsByKey = new HashMap<>();
  final List<Submission> submissions = new ArrayList<>();
  private final Random random;
  private final Variant variant;
  private final Set<String> liveInstances = new HashSet<>();
  private final List<Instance> instances = new ArrayList<>();
  private int nextId;
  private int depth;
  private boolean faultsEnabled = true;

  BookingSimulation(long seed, Variant variant) {
    random = new Random(seed);
    this.variant = variant;
    log =
        FakeLog.create(seed + 1)
            .withFaults(
                random.nextDouble() * 0.3, random.nextDouble() * 0.4, random.nextDouble() * 0.2);
    for (int i = 0; i < 3; i++) {
      instances.add(new Instance());
    }
  }

  /** One instance with its own claim store. */
  private final class Instance implements NonIdempotentCallExecutor.Dispatcher {
    private final String name = "i" + nextId++;
    private final NonIdempotentCallExecutor executor;
    private final Map<NonIdempotentCall, Submission> submissionsByCall = new HashMap<>();

    Instance() {
      liveInstances.add(name);
      ClaimStore store = LogClaimStore.create(log, 2, Runnable::run, time, time);
      ClaimStore stepped = new FaultInjectingStore(variant.claims(BookingSimulation.this, store));
      executor =
          NonIdempotentCallExecutor.create(
              stepped, this, liveInstances::contains, () -> "n" + nextId++, name, time, time);
    }

    @Override
    public Outcome dispatch(NonIdempotentCall call) {
      injectEvent();
      Submission submission = submissionsByCall.get(call);
      submission.dispatches++;
      runsByKey.merge(call.key(), 1, Integer::sum);
      Outcome answered =
          new Outcome.Answered(201, "application/json", "booked-" + call.key().key());
      injectEvent();
      boolean lost = faultsEnabled && random.nextInt(6) == 0;
      return variant.dispatched(lost ? new Outcome.Lost("response lost") : answered);
    }

    void submit(Submission submission) {
      NonIdempotentCall call =
          new NonIdempotentCall(
              submission.key,
              "POST",
              "/bookings",
              submission.body,
              time.instant().plus(CALL_TIMEOUT).plusNanos(submissions.size()));
      submissionsByCall.put(call, submission);
      try {
        submission.response = Optional.of(executor.run(call));
        submission.reportedStatus = Optional.of(ExecutionStatus.RAN);
      } catch (RouterException e) {
        submission.reportedStatus = Optional.of(e.executionStatus());
      }
    }
  }

  /** Injects random events before and after every call of the claim store. */
  private final class FaultInjectingStore implements ClaimStore {
    private final ClaimStore real;

    FaultInjectingStore(ClaimStore real) {
      this.real = real;
    }

    @Override
    public ClaimDecision claim(Claimed claim, Instant deadline) {
      injectEvent();
      ClaimDecision decision = real.claim(claim, deadline);
      injectEvent();
      return decision;
    }

    @Override
    public boolean settle(Settled settled, Instant deadline) {
      injectEvent();
      boolean durable = real.settle(settled, deadline);
      injectEvent();
      return durable;
    }

    @Override
    public Optional<Outcome> find(ClaimKey key, Instant deadline) {
      injectEvent();
      return real.find(key, deadline);
    }
  }

  private void injectEvent() {
    if (!faultsEnabled) {
      return;
    }
    switch (random.nextInt(16)) {
      case 0 -> throw new InstanceCrash();
      case 1 -> time.advance(Duration.ofSeconds(35));
      case 2 -> log.setDown(true);
      case 3, 4 -> log.setDown(false);
      case 5 -> log.applyDelayedAppends();
      case 6, 7 -> submitAtRandomInstance();
      default -> {}
    }
  }

  /** Runs one submission until it ends or its instance crashes. */
  void submitAtRandomInstance() {
    if (depth >= MAX_DEPTH) {
      return;
    }
    depth++;
    int index = random.nextInt(instances.size());
    Instance instance = instances.get(index);
    ClaimKey key = new ClaimKey("hq", "k" + random.nextInt(KEY_COUNT));
    Submission submission = new Submission(key, random.nextInt(8) == 0 ? "other" : "body");
    submissions.add(submission);
    try {
      instance.submit(submission);
    } catch (InstanceCrash e) {
      submission.instanceCrashed = true;
      liveInstances.remove(instance.name);
      instances.set(index, new Instance());
    } finally {
      depth--;
    }
  }

  /** Ends all faults, applies the delayed appends, and submits every key once more. */
  void recoverAndResubmit() {
    faultsEnabled = false;
    log.setDown(false);
    log.withFaults(0, 0, 0);
    log.applyDelayedAppends();
    for (int round = 0; round < 3; round++) {
      instances.forEach(i -> i.executor.retrySettlements());
    }
    for (int k = 0; k < KEY_COUNT; k++) {
      Submission last = new Submission(new ClaimKey("hq", "k" + k), "body");
      submissions.add(last);
      instances.get(0).submit(last);
    }
  }

  /** Returns a description of the first violation in the history, or empty if there is none. */
  Optional<String> violation() {
    for (Map.Entry<ClaimKey, Integer> run : runsByKey.entrySet()) {
      if (run.getValue() > 1) {
        return Optional.of(run.getKey().key() + " ran " + run.getValue() + " times");
      }
    }
    for (Submission s : submissions) {
      if (s.dispatches > 0 && s.reportedStatus.equals(Optional.of(ExecutionStatus.NOT_RUN))) {
        return Optional.of(s.key.key() + " was reported as not run but ran");
      }
      if (s.response.isPresent() && !s.response.get().body().equals("booked-" + s.key.key())) {
        return Optional.of(s.key.key() + " received the response of another call");
      }
      if (s.response.isPresent() && runsByKey.getOrDefault(s.key, 0) != 1) {
        return Optional.of(s.key.key() + " received a response but did not run exactly once");
      }
    }
    return Optional.empty();
  }

  /** Runs the schedule of the seed and returns its violation, or empty if there is none. */
  static Optional<String> runSchedule(long seed, Variant variant) {
    BookingSimulation simulation = new BookingSimulation(seed, variant);
    for (int i = 0; i < 12; i++) {
      simulation.submitAtRandomInstance();
    }
    simulation.recoverAndResubmit();
    return simulation.violation();
  }

  /** Returns the first seed whose schedule has a violation, or -1. */
  static long firstFailingSeed(Variant variant, long seeds) {
    return SeedSearch.firstFailing(seed -> runSchedule(seed, variant), seeds);
  }
}
