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
import org.kumquatplank.core.time.Seeds;

/**
 * Several instances, one log and one booking service, driven by one seed.
 *
 * <p>At every step of a booking another submission may run, the instance may die or be paused, the
 * log may go down or come back, and late appends may land. The history is kept for the checks.
 */
final class BookingSimulation {
  private static final int KEYS = 3;
  private static final int DEEPEST = 3;
  private static final Duration CALL_TIME = Duration.ofSeconds(5);

  /** What replaces a part of the mechanism, to show that a check can fail. */
  interface Variant {
    default ClaimStore claims(BookingSimulation simulation, ClaimStore real) {
      return real;
    }

    default Outcome dispatched(Outcome real) {
      return real;
    }
  }

  /** One call of a caller, and what it heard. */
  static final class Submission {
    final ClaimKey key;
    final String body;
    int dispatches;
    Optional<ExecutionStatus> heard = Optional.empty();
    Optional<Outcome.Answered> answer = Optional.empty();
    boolean instanceDied;

    Submission(ClaimKey key, String body) {
      this.key = key;
      this.body = body;
    }
  }

  /** The death of an instance at a step. */
  private static final class Death extends Error {
    private static final long serialVersionUID = 1L;
  }

  final FakeTime time = new FakeTime();
  final FakeLog log;
  final Map<ClaimKey, Integer> runs = new HashMap<>();
  final List<Submission> submissions = new ArrayList<>();
  private final Random random;
  private final Variant variant;
  private final Set<String> live = new HashSet<>();
  private final List<Instance> instances = new ArrayList<>();
  private int names;
  private int depth;
  private boolean faulty = true;

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
    private final String name = "i" + names++;
    private final NonIdempotentCallExecutor calls;
    private final Map<NonIdempotentCall, Submission> current = new HashMap<>();

    Instance() {
      live.add(name);
      ClaimStore store = LogClaimStore.create(log, 2, Runnable::run, time, time);
      ClaimStore stepped = new Stepped(variant.claims(BookingSimulation.this, store));
      calls =
          NonIdempotentCallExecutor.create(
              stepped, this, live::contains, () -> "n" + names++, name, time, time);
    }

    @Override
    public Outcome dispatch(NonIdempotentCall call) {
      step();
      Submission submission = current.get(call);
      submission.dispatches++;
      runs.merge(call.key(), 1, Integer::sum);
      Outcome answered =
          new Outcome.Answered(201, "application/json", "booked-" + call.key().key());
      step();
      boolean lost = faulty && random.nextInt(6) == 0;
      return variant.dispatched(lost ? new Outcome.Lost("answer lost") : answered);
    }

    void submit(Submission submission) {
      NonIdempotentCall call =
          new NonIdempotentCall(
              submission.key,
              "POST",
              "/bookings",
              submission.body,
              time.instant().plus(CALL_TIME).plusNanos(submissions.size()));
      current.put(call, submission);
      try {
        submission.answer = Optional.of(calls.run(call));
        submission.heard = Optional.of(ExecutionStatus.RAN);
      } catch (RouterException e) {
        submission.heard = Optional.of(e.ran());
      }
    }
  }

  /** Lets things happen before and after every call of the log's claim store. */
  private final class Stepped implements ClaimStore {
    private final ClaimStore real;

    Stepped(ClaimStore real) {
      this.real = real;
    }

    @Override
    public ClaimDecision claim(Claimed claim, Instant deadline) {
      step();
      ClaimDecision decision = real.claim(claim, deadline);
      step();
      return decision;
    }

    @Override
    public boolean settle(Settled settled, Instant deadline) {
      step();
      boolean done = real.settle(settled, deadline);
      step();
      return done;
    }

    @Override
    public Optional<Outcome> find(ClaimKey key, Instant deadline) {
      step();
      return real.find(key, deadline);
    }
  }

  private void step() {
    if (!faulty) {
      return;
    }
    switch (random.nextInt(16)) {
      case 0 -> throw new Death();
      case 1 -> time.advance(Duration.ofSeconds(35));
      case 2 -> log.setDown(true);
      case 3, 4 -> log.setDown(false);
      case 5 -> log.landAll();
      case 6, 7 -> submitSomewhere();
      default -> {}
    }
  }

  /** Runs one submission from start to end, or to the death of its instance. */
  void submitSomewhere() {
    if (depth >= DEEPEST) {
      return;
    }
    depth++;
    int index = random.nextInt(instances.size());
    Instance instance = instances.get(index);
    ClaimKey key = new ClaimKey("hq", "k" + random.nextInt(KEYS));
    Submission submission = new Submission(key, random.nextInt(8) == 0 ? "other" : "body");
    submissions.add(submission);
    try {
      instance.submit(submission);
    } catch (Death e) {
      submission.instanceDied = true;
      live.remove(instance.name);
      instances.set(index, new Instance());
    } finally {
      depth--;
    }
  }

  /** Ends all faults, lets everything land, and submits every key once more. */
  void heal() {
    faulty = false;
    log.setDown(false);
    log.withFaults(0, 0, 0);
    log.landAll();
    for (int round = 0; round < 3; round++) {
      instances.forEach(i -> i.calls.settleOpen());
    }
    for (int k = 0; k < KEYS; k++) {
      Submission last = new Submission(new ClaimKey("hq", "k" + k), "body");
      submissions.add(last);
      instances.get(0).submit(last);
    }
  }

  /** Returns what is wrong with the history, or nothing. */
  Optional<String> violation() {
    for (Map.Entry<ClaimKey, Integer> run : runs.entrySet()) {
      if (run.getValue() > 1) {
        return Optional.of(run.getKey().key() + " ran " + run.getValue() + " times");
      }
    }
    for (Submission s : submissions) {
      if (s.dispatches > 0 && s.heard.equals(Optional.of(ExecutionStatus.NOT_RUN))) {
        return Optional.of(s.key.key() + " was told not run and ran");
      }
      if (s.answer.isPresent() && !s.answer.get().body().equals("booked-" + s.key.key())) {
        return Optional.of(s.key.key() + " got the answer of another call");
      }
      if (s.answer.isPresent() && runs.getOrDefault(s.key, 0) != 1) {
        return Optional.of(s.key.key() + " was answered without a run");
      }
    }
    return Optional.empty();
  }

  /** Plays one whole schedule and returns what is wrong with it, or nothing. */
  static Optional<String> play(long seed, Variant variant) {
    BookingSimulation simulation = new BookingSimulation(seed, variant);
    for (int i = 0; i < 12; i++) {
      simulation.submitSomewhere();
    }
    simulation.heal();
    return simulation.violation();
  }

  /** Returns the first seed whose schedule goes wrong, or -1. */
  static long firstBadSeed(Variant variant, long seeds) {
    return Seeds.firstBad(seed -> play(seed, variant), seeds);
  }
}
