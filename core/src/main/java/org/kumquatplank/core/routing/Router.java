package org.kumquatplank.core.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.kumquatplank.core.config.Configuration;
import org.kumquatplank.core.config.WorkClass;
import org.kumquatplank.core.error.ErrorCode;
import org.kumquatplank.core.membership.InstanceList;
import org.kumquatplank.core.quality.QualityTracker;

/**
 * Decides which work goes where and when.
 *
 * <p>Events go in, actions come out; each action is to be carried out by the caller. Not
 * thread-safe: confined to the control thread.
 *
 * <pre>{@code
 * List<Action> actions = new ArrayList<>(router.submit(request, now));
 * actions.addAll(router.tick(now));
 * }</pre>
 */
public final class Router {
  private static final double SAMPLED_SHARE = 0.2;
  private static final double WELL_KNOWN_RATINGS = 60;
  private static final int MOST_WAITING = 2_000;
  private static final double LONG_FACTOR = 4;
  private static final long SHORTEST_RETRY_MICROS = 500_000;
  private static final double MOST_RESERVED_SHARE = 0.5;

  private final BackendSpeedTracker speeds = new BackendSpeedTracker();
  private final OutputLengthEstimator lengths = OutputLengthEstimator.create();
  private final RetryBudget repeats = RetryBudget.create();
  private final Explanations explanations = new Explanations();
  private final AdmissionQueue shortQueue = new AdmissionQueue(false);
  private final AdmissionQueue longQueue = new AdmissionQueue(true);
  private final ServiceTimeEstimator services = new ServiceTimeEstimator(lengths);
  private final Map<String, Running> running = new HashMap<>();
  private final Set<String> delayTold = new HashSet<>();
  private final QualityTracker quality;
  private final TrialBudget trials;
  private final Planner planner;
  private final BackendTable backends;

  private Router(String self, String region, QualityTracker quality) {
    this.quality = quality;
    this.trials = TrialBudget.create(self);
    this.backends = new BackendTable(self, region, speeds);
    this.planner = new Planner(quality, trials, backends, lengths);
  }

  /** Work that a backend server has. */
  private static final class Running {
    private final RoutingRequest request;
    private final Plan plan;
    private final AdmissionQueue queue;
    private final String backend;
    private final long started;
    private long firstTokenAt;

    private Running(RoutingRequest request, Plan plan, AdmissionQueue queue, String backend, long started) {
      this.request = request;
      this.plan = plan;
      this.queue = queue;
      this.backend = backend;
      this.started = started;
    }
  }

  /**
   * Returns a router.
   *
   * @param self identity of this instance
   * @param region region that it stands in
   * @param quality the evidence on versions, shared with whoever takes in ratings
   */
  public static Router create(String self, String region, QualityTracker quality) {
    return new Router(self, region, quality);
  }

  /** Sets the configuration in force. */
  public void setConfiguration(Configuration newConfiguration) {
    planner.setConfiguration(newConfiguration);
  }

  /** Sets the list of backend servers. */
  public void setInstances(InstanceList list) {
    backends.setList(list);
  }

  /** Sets the identities of the live entry instances. */
  public void setEntries(Collection<String> live) {
    trials.setInstances(live);
    backends.keepPeers(Set.copyOf(live));
  }

  /** Sets how many requests an engine runs at once. */
  public void setSlots(String backend, int count) {
    backends.setSlots(backend, count);
  }

  /** Sets what a peer has under way. */
  public void setPeerLoads(String peer, List<PeerLoad> loads) {
    backends.setPeerLoads(peer, loads);
  }

  /** Notes which engines a peer suspects to be slow. */
  public void setPeerSuspects(Collection<String> suspects, long now) {
    suspects.forEach(backend -> speeds.suspectedByPeer(backend, now));
  }

  /** Returns the engines that this instance suspects to be slow by its own observation. */
  public List<String> ownSuspects(long now) {
    return speeds.ownSuspects(now);
  }

  /** Returns what this instance has under way. */
  public List<PeerLoad> ownLoads() {
    return backends.ownLoads();
  }

  /** Takes in new work. */
  public List<Action> submit(RoutingRequest request, long now) {
    double service = services.predict(request);
    trials.count(request.workClass().name());
    AdmissionQueue queue = queueOf(request);
    double wait = queue.expectedWait(request.account());
    if (queue.queue().size() >= MOST_WAITING) {
      return List.of(refuse(request, ErrorCode.OVERLOADED, now, now, "too much work is waiting"));
    }
    long expectedEnd = now + (long) (wait + service);
    if (wait > 0 && expectedEnd > request.finishDeadline()) {
      long retryAt = now + expectedEnd - request.finishDeadline();
      String reason = "it can't be finished in time behind the work that waits";
      return List.of(refuse(request, ErrorCode.DEADLINE_UNREACHABLE, retryAt, now, reason));
    }
    queue.queue().add(request, service);
    List<Action> actions = new ArrayList<>(pump(now));
    boolean stillWaiting = !running.containsKey(request.id());
    if (stillWaiting && now + (long) wait > request.firstTokenDeadline()) {
      tellDelay(request, now + (long) wait, actions);
    }
    return actions;
  }

  private AdmissionQueue queueOf(RoutingRequest request) {
    double tokens = lengths.predict(request.workClass().name(), request.account());
    return tokens > LONG_FACTOR * lengths.typical() ? longQueue : shortQueue;
  }

  private Action refuse(RoutingRequest request, ErrorCode code, long retryAt, long now, String reason) {
    explanations.add(request.id(), "refused: " + reason);
    delayTold.remove(request.id());
    return new Action.Refuse(request, code, Math.max(retryAt, now + SHORTEST_RETRY_MICROS), reason);
  }

  /** Looks at waiting work again: starts it, refuses it, or tells of its delay. */
  public List<Action> tick(long now) {
    List<Action> actions = new ArrayList<>(pump(now));
    for (AdmissionQueue queue : List.of(shortQueue, longQueue)) {
      for (FairQueue.Waiting late : queue.queue().removeIf(w -> isTooLate(w, now))) {
        String reason = "its deadline can no longer be met";
        actions.add(refuse(late.request(), ErrorCode.DEADLINE_UNREACHABLE, now, now, reason));
      }
      for (FairQueue.Waiting head : queue.queue().heads()) {
        long expectedStart = now + (long) queue.expectedWait(head.request().account());
        if (expectedStart > head.request().firstTokenDeadline()) {
          tellDelay(head.request(), expectedStart, actions);
        }
      }
    }
    return actions;
  }

  /** An estimate alone never makes work too late: half of its time is left to it. */
  private static boolean isTooLate(FairQueue.Waiting waiting, long now) {
    RoutingRequest request = waiting.request();
    double allowance = (request.finishDeadline() - request.arrived()) * MOST_RESERVED_SHARE;
    return now + (long) Math.min(waiting.micros(), allowance) > request.finishDeadline();
  }

  private void tellDelay(RoutingRequest request, long expectedStart, List<Action> actions) {
    if (delayTold.add(request.id())) {
      actions.add(new Action.Delay(request, expectedStart));
    }
  }

  private List<Action> pump(long now) {
    List<Action> actions = new ArrayList<>();
    pump(shortQueue, now, actions);
    pump(longQueue, now, actions);
    return actions;
  }

  private void pump(AdmissionQueue queue, long now, List<Action> actions) {
    Set<Planner.Kind> blocked = new HashSet<>();
    boolean progress = queue.queue().size() > 0;
    while (progress) {
      progress = false;
      for (FairQueue.Waiting head : queue.queue().heads()) {
        Planner.Kind kind = planner.kindOf(head.request(), now);
        Optional<Action> action =
            blocked.contains(kind) ? Optional.empty() : tryStart(head, queue, now);
        if (action.isPresent()) {
          queue.queue().start(head);
          actions.add(action.get());
          progress = true;
          break;
        }
        blocked.add(kind);
      }
    }
  }

  private Optional<Action> tryStart(FairQueue.Waiting head, AdmissionQueue queue, long now) {
    RoutingRequest request = head.request();
    Optional<Plan> plan = planner.choose(head, queue.isLong(), now);
    if (plan.isEmpty()) {
      String reason = "no version may serve this class";
      return planner.isServable(request)
          ? Optional.empty()
          : Optional.of(refuse(request, Planner.whyNoPlan(request), now, now, reason));
    }
    String version = plan.get().first();
    Optional<String> backend = backends.place(version, request, queue.isLong(), "", now);
    if (backend.isEmpty()) {
      planner.giveBackTrial(request, plan.get());
      return Optional.empty();
    }
    begin(new Running(request, plan.get(), queue, backend.get(), now));
    repeats.started();
    return Optional.of(new Action.Start(request, plan.get(), backend.get()));
  }

  private void begin(Running entry) {
    running.put(entry.request.id(), entry);
    backends.begin(entry.backend, entry.queue.isLong());
    entry.queue.begin();
    delayTold.remove(entry.request.id());
    explanations.add(
        entry.request.id(), entry.plan.first() + " at " + entry.backend + ": " + entry.plan.reason());
  }

  private void end(Running entry) {
    backends.end(entry.backend, entry.queue.isLong());
    entry.queue.end();
  }

  /**
   * Finds another engine for work whose engine failed or is slow; the old one is let go.
   *
   * @param withinBudget whether the repetition is to be taken out of the budget
   * @return the new start, or nothing when there is no engine, no budget or no permission
   */
  public Optional<Action.Start> restart(String workId, boolean withinBudget, long now) {
    Running old = running.get(workId);
    if (old == null || !planner.permits(old.request.account(), old.plan.first())) {
      return Optional.empty();
    }
    String version = old.plan.first();
    Optional<String> backend = backends.place(version, old.request, false, old.backend, now);
    if (backend.isEmpty() && !withinBudget && backends.serves(old.backend, version)) {
      // The only engine left may have lost just the one connection.
      backend = Optional.of(old.backend);
    }
    if (backend.isEmpty() || (withinBudget && !repeats.tryTake())) {
      return Optional.empty();
    }
    end(old);
    begin(new Running(old.request, old.plan, old.queue, backend.get(), now));
    return Optional.of(new Action.Start(old.request, old.plan, backend.get()));
  }

  /** Notes a failed call to the engine that has the work. */
  public void failed(String workId, long now) {
    Running entry = running.get(workId);
    if (entry != null) {
      speeds.failed(entry.backend, now);
    }
  }

  /** Notes the first token of running work. */
  public void firstToken(String workId, long now) {
    Running entry = running.get(workId);
    if (entry != null) {
      entry.firstTokenAt = now;
      speeds.firstToken(entry.backend, entry.plan.first(), now - entry.started, now);
    }
  }

  /** Notes the mean time between tokens over a stretch of running work. */
  public void tokens(String workId, double microsPerToken, long now) {
    Running entry = running.get(workId);
    if (entry != null) {
      speeds.tokens(entry.backend, entry.plan.first(), microsPerToken, now);
    }
  }

  /** Notes that running work has been silent, and returns whether its engine is now suspect. */
  public boolean silent(String workId, long silentMicros, long now) {
    Running entry = running.get(workId);
    if (entry == null) {
      return false;
    }
    speeds.silent(entry.backend, entry.plan.first(), entry.firstTokenAt != 0, silentMicros, now);
    return speeds.isSuspect(entry.backend, now);
  }

  /** Returns whether the engine that has the work is suspected to be slow. */
  public boolean isSuspect(String workId, long now) {
    Running entry = running.get(workId);
    return entry != null && speeds.isSuspect(entry.backend, now);
  }

  /** Notes that work has ended after so many tokens. */
  public List<Action> finished(String workId, long tokens, boolean whole, long now) {
    Running entry = running.remove(workId);
    if (entry == null) {
      return List.of();
    }
    end(entry);
    if (whole) {
      long firstTokenAt = entry.firstTokenAt == 0 ? now : entry.firstTokenAt;
      lengths.observe(entry.request.workClass().name(), entry.request.account(), tokens);
      services.observe(entry.request, tokens, firstTokenAt - entry.started, now - entry.started);
    } else {
      planner.giveBackTrial(entry.request, entry.plan);
    }
    return pump(now);
  }

  /**
   * Returns the share of answers that should be rated: all while little is known, and all trials.
   *
   * @param trial whether the answer came from a trial
   */
  public double ratedShare(WorkClass workClass, String version, boolean trial) {
    boolean wellKnown = quality.assess(workClass, version).weight() >= WELL_KNOWN_RATINGS;
    return wellKnown && !trial ? SAMPLED_SHARE : 1;
  }

  /** Notes that a request was rated, or never will be. */
  public void ratingDone(RoutingRequest request, String version) {
    trials.release(request.workClass().name(), version, request.id());
  }

  /** Drops work whose caller is gone, whether it waits or was started unheard. */
  public List<Action> abandon(String workId, long now) {
    shortQueue.queue().removeIf(w -> w.request().id().equals(workId));
    longQueue.queue().removeIf(w -> w.request().id().equals(workId));
    delayTold.remove(workId);
    return finished(workId, 0, false, now);
  }

  /** Returns why a request was decided as it was, if it is still remembered. */
  public Optional<String> explain(String workId) {
    return explanations.find(workId);
  }

  /** Returns the number of requests that wait. */
  public int waiting() {
    return shortQueue.queue().size() + longQueue.queue().size();
  }

  /** Returns the evidence on versions. */
  public QualityTracker quality() {
    return quality;
  }
}
