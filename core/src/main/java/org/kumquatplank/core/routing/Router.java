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
 * Decides which model version and backend server serve each request, and when it is sent.
 *
 * <p>Each method takes an event and may return actions, which the caller must carry out. Not
 * thread-safe: confined to the control thread.
 *
 * <pre>{@code
 * List<Action> actions = new ArrayList<>(router.submit(request, now));
 * actions.addAll(router.tick(now));
 * }</pre>
 */
public final class Router {
  private static final double RATING_SAMPLE_RATIO = 0.2;
  private static final double MIN_RATINGS_FOR_SAMPLING = 60;
  private static final int MAX_REQUESTS_PER_QUEUE = 2_000;
  private static final double LONG_RESPONSE_FACTOR = 4;
  private static final long MIN_RETRY_DELAY_MICROS = 500_000;
  private static final double MAX_SERVICE_TIME_RATIO = 0.5;

  private final BackendSpeedTracker speeds = new BackendSpeedTracker();
  private final OutputLengthEstimator lengths = OutputLengthEstimator.create();
  private final RetryBudget retryBudget = RetryBudget.create();
  private final Explanations explanations = new Explanations();
  private final AdmissionQueue shortQueue = new AdmissionQueue(false);
  private final AdmissionQueue longQueue = new AdmissionQueue(true);
  private final ServiceTimeEstimator serviceTimes = new ServiceTimeEstimator(lengths);
  private final Map<String, InFlight> inFlight = new HashMap<>();
  private final Set<String> delayNotified = new HashSet<>();
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

  /** A request that was sent to a backend server. */
  private static final class InFlight {
    private final RoutingRequest request;
    private final Plan plan;
    private final AdmissionQueue queue;
    private final String backend;
    private final long sentAt;
    private long firstTokenAt;

    private InFlight(
        RoutingRequest request, Plan plan, AdmissionQueue queue, String backend, long sentAt) {
      this.request = request;
      this.plan = plan;
      this.queue = queue;
      this.backend = backend;
      this.sentAt = sentAt;
    }
  }

  /**
   * Returns a router.
   *
   * @param self identity of this instance
   * @param region region of this instance
   * @param quality the ratings of the versions, shared with the component that records ratings
   */
  public static Router create(String self, String region, QualityTracker quality) {
    return new Router(self, region, quality);
  }

  /** Sets the current configuration. */
  public void setConfiguration(Configuration newConfiguration) {
    planner.setConfiguration(newConfiguration);
  }

  /** Sets the list of backend servers. */
  public void setInstanceList(InstanceList list) {
    backends.setList(list);
  }

  /** Sets the identities of all live instances, including this one. */
  public void setLiveInstances(Collection<String> live) {
    trials.setInstances(live);
    backends.retainPeers(Set.copyOf(live));
  }

  /** Sets the number of requests that a backend server processes concurrently. */
  public void setSlots(String backend, int count) {
    backends.setSlots(backend, count);
  }

  /** Sets the in-flight requests of a peer. */
  public void setPeerLoads(String peer, List<PeerLoad> loads) {
    backends.setPeerLoads(peer, loads);
  }

  /** Records which backend servers a peer suspects to be slow. */
  public void recordPeerSuspects(Collection<String> suspects, long now) {
    suspects.forEach(backend -> speeds.markSuspectedByPeer(backend, now));
  }

  /** Returns the backend servers that this instance itself suspects to be slow. */
  public List<String> ownSuspects(long now) {
    return speeds.ownSuspects(now);
  }

  /** Returns the in-flight requests of this instance. */
  public List<PeerLoad> ownLoads() {
    return backends.ownLoads();
  }

  /** Submits a new request. */
  public List<Action> submit(RoutingRequest request, long now) {
    double serviceMicros = serviceTimes.predict(request);
    trials.recordRequest(request.workClass().name());
    AdmissionQueue queue = queueOf(request);
    double waitMicros = queue.expectedWait(request.account());
    if (queue.requests().size() >= MAX_REQUESTS_PER_QUEUE) {
      return List.of(reject(request, ErrorCode.OVERLOADED, now, now, "too much work is waiting"));
    }
    long expectedEnd = now + (long) (waitMicros + serviceMicros);
    if (waitMicros > 0 && expectedEnd > request.responseDeadline()) {
      long retryAtMicros = now + expectedEnd - request.responseDeadline();
      String reason = "it can't be finished in time behind the work that waits";
      return List.of(reject(request, ErrorCode.DEADLINE_UNREACHABLE, retryAtMicros, now, reason));
    }
    queue.requests().add(request, serviceMicros);
    List<Action> actions = new ArrayList<>(sendQueued(now));
    boolean stillQueued = !inFlight.containsKey(request.id());
    if (stillQueued && now + (long) waitMicros > request.firstTokenDeadline()) {
      notifyDelay(request, now + (long) waitMicros, actions);
    }
    return actions;
  }

  private AdmissionQueue queueOf(RoutingRequest request) {
    double tokens = lengths.predict(request.workClass().name(), request.account());
    return tokens > LONG_RESPONSE_FACTOR * lengths.medianClassLength() ? longQueue : shortQueue;
  }

  private Action reject(
      RoutingRequest request, ErrorCode code, long retryAtMicros, long now, String reason) {
    explanations.add(request.id(), "refused: " + reason);
    delayNotified.remove(request.id());
    return new Action.Reject(
        request, code, Math.max(retryAtMicros, now + MIN_RETRY_DELAY_MICROS), reason);
  }

  /** Sends queued requests, rejects those that are too late, and notifies callers of delays. */
  public List<Action> tick(long now) {
    List<Action> actions = new ArrayList<>(sendQueued(now));
    for (AdmissionQueue queue : List.of(shortQueue, longQueue)) {
      for (FairQueue.QueuedRequest late : queue.requests().removeIf(r -> isTooLate(r, now))) {
        String reason = "its deadline can no longer be met";
        actions.add(reject(late.request(), ErrorCode.DEADLINE_UNREACHABLE, now, now, reason));
      }
      for (FairQueue.QueuedRequest head : queue.requests().heads()) {
        long expectedSendMicros = now + (long) queue.expectedWait(head.request().account());
        if (expectedSendMicros > head.request().firstTokenDeadline()) {
          notifyDelay(head.request(), expectedSendMicros, actions);
        }
      }
    }
    return actions;
  }

  /**
   * Returns whether a request can no longer meet its deadline.
   *
   * <p>The predicted service time counts for at most half of the time between arrival and deadline,
   * so that a wrong estimate alone does not get a request rejected.
   */
  private static boolean isTooLate(FairQueue.QueuedRequest queued, long now) {
    RoutingRequest request = queued.request();
    double capMicros =
        (request.responseDeadline() - request.arrivalMicros()) * MAX_SERVICE_TIME_RATIO;
    return now + (long) Math.min(queued.serviceMicros(), capMicros) > request.responseDeadline();
  }

  private void notifyDelay(RoutingRequest request, long expectedSendMicros, List<Action> actions) {
    if (delayNotified.add(request.id())) {
      actions.add(new Action.NotifyDelay(request, expectedSendMicros));
    }
  }

  private List<Action> sendQueued(long now) {
    List<Action> actions = new ArrayList<>();
    sendQueued(shortQueue, now, actions);
    sendQueued(longQueue, now, actions);
    return actions;
  }

  private void sendQueued(AdmissionQueue queue, long now, List<Action> actions) {
    Set<Planner.PlanningKey> blocked = new HashSet<>();
    boolean progress = queue.requests().size() > 0;
    while (progress) {
      progress = false;
      for (FairQueue.QueuedRequest head : queue.requests().heads()) {
        Planner.PlanningKey key = planner.planningKeyOf(head.request(), now);
        Optional<Action> action =
            blocked.contains(key) ? Optional.empty() : trySend(head, queue, now);
        if (action.isPresent()) {
          queue.requests().dequeue(head);
          actions.add(action.get());
          progress = true;
          break;
        }
        blocked.add(key);
      }
    }
  }

  private Optional<Action> trySend(FairQueue.QueuedRequest head, AdmissionQueue queue, long now) {
    RoutingRequest request = head.request();
    Optional<Plan> plan = planner.choose(head, queue.isLong(), now);
    if (plan.isEmpty()) {
      String reason = "no version may serve this class";
      return planner.isServable(request)
          ? Optional.empty()
          : Optional.of(reject(request, Planner.noPlanError(request), now, now, reason));
    }
    String version = plan.get().firstVersion();
    Optional<String> backend = backends.select(version, request, queue.isLong(), "", now);
    if (backend.isEmpty()) {
      planner.releaseTrial(request, plan.get());
      return Optional.empty();
    }
    addInFlight(new InFlight(request, plan.get(), queue, backend.get(), now));
    retryBudget.recordRequest();
    return Optional.of(new Action.Send(request, plan.get(), backend.get()));
  }

  private void addInFlight(InFlight entry) {
    inFlight.put(entry.request.id(), entry);
    backends.incrementInFlight(entry.backend, entry.queue.isLong());
    entry.queue.incrementInFlight();
    delayNotified.remove(entry.request.id());
    explanations.add(
        entry.request.id(),
        entry.plan.firstVersion() + " at " + entry.backend + ": " + entry.plan.reason());
  }

  private void endInFlight(InFlight entry) {
    backends.decrementInFlight(entry.backend, entry.queue.isLong());
    entry.queue.decrementInFlight();
  }

  /**
   * Selects another backend server for a request whose backend server failed or is slow.
   *
   * <p>The request no longer counts as in flight at the old backend server.
   *
   * @param chargeBudget whether the retry is charged to the retry budget
   * @return the retry, or empty if the request is not in flight, the account may not use the
   *     version, no backend server is available or the retry budget is exhausted
   */
  public Optional<Action.Send> retry(String requestId, boolean chargeBudget, long now) {
    InFlight old = inFlight.get(requestId);
    if (old == null || !planner.permits(old.request.account(), old.plan.firstVersion())) {
      return Optional.empty();
    }
    String version = old.plan.firstVersion();
    Optional<String> backend = backends.select(version, old.request, false, old.backend, now);
    if (backend.isEmpty() && !chargeBudget) {
      backend = backends.selectLastResort(version, old.request, old.backend);
    }
    if (backend.isEmpty() || (chargeBudget && !retryBudget.tryAcquire())) {
      return Optional.empty();
    }
    endInFlight(old);
    addInFlight(new InFlight(old.request, old.plan, old.queue, backend.get(), now));
    return Optional.of(new Action.Send(old.request, old.plan, backend.get()));
  }

  /** Records a failed call to the backend server of an in-flight request. */
  public void recordFailure(String requestId, long now) {
    InFlight entry = inFlight.get(requestId);
    if (entry != null) {
      speeds.recordFailure(entry.backend, now);
    }
  }

  /** Records the first token of an in-flight request. */
  public void recordFirstToken(String requestId, long now) {
    InFlight entry = inFlight.get(requestId);
    if (entry != null) {
      entry.firstTokenAt = now;
      speeds.recordFirstToken(entry.backend, entry.plan.firstVersion(), now - entry.sentAt, now);
    }
  }

  /** Records the mean time between tokens over a section of an in-flight response. */
  public void recordTokenInterval(String requestId, double microsPerToken, long now) {
    InFlight entry = inFlight.get(requestId);
    if (entry != null) {
      speeds.recordTokenInterval(entry.backend, entry.plan.firstVersion(), microsPerToken, now);
    }
  }

  /**
   * Records that the response to an in-flight request is silent.
   *
   * @param silentMicros time since the last progress, in microseconds
   * @return whether the backend server of the request is now suspected to be slow
   */
  public boolean recordSilence(String requestId, long silentMicros, long now) {
    InFlight entry = inFlight.get(requestId);
    if (entry == null) {
      return false;
    }
    speeds.recordSilence(
        entry.backend, entry.plan.firstVersion(), entry.firstTokenAt != 0, silentMicros, now);
    return speeds.isSuspect(entry.backend, now);
  }

  /** Returns whether the backend server of an in-flight request is suspected to be slow. */
  public boolean isSuspect(String requestId, long now) {
    InFlight entry = inFlight.get(requestId);
    return entry != null && speeds.isSuspect(entry.backend, now);
  }

  /**
   * Records the end of a request.
   *
   * @param tokens number of generated tokens
   * @param complete whether the response is complete
   */
  public List<Action> recordEnd(String requestId, long tokens, boolean complete, long now) {
    InFlight entry = inFlight.remove(requestId);
    if (entry == null) {
      return List.of();
    }
    endInFlight(entry);
    if (complete) {
      long firstTokenAt = entry.firstTokenAt == 0 ? now : entry.firstTokenAt;
      lengths.observe(entry.request.workClass().name(), entry.request.account(), tokens);
      serviceTimes.observe(entry.request, tokens, firstTokenAt - entry.sentAt, now - entry.sentAt);
    } else {
      planner.releaseTrial(entry.request, entry.plan);
    }
    return sendQueued(now);
  }

  /**
   * Returns the ratio of responses to rate: 1 during a trial or while there are few ratings.
   *
   * @param trial whether the request was a trial
   */
  public double ratingSampleRatio(WorkClass workClass, String version, boolean trial) {
    boolean enoughRatings =
        quality.assess(workClass, version).ratingWeight() >= MIN_RATINGS_FOR_SAMPLING;
    return enoughRatings && !trial ? RATING_SAMPLE_RATIO : 1;
  }

  /** Records that a request was rated or will not be rated. */
  public void recordRatingDone(RoutingRequest request, String version) {
    trials.release(request.workClass().name(), version, request.id());
  }

  /** Cancels a queued or in-flight request after its caller has disconnected. */
  public List<Action> cancel(String requestId, long now) {
    shortQueue.requests().removeIf(r -> r.request().id().equals(requestId));
    longQueue.requests().removeIf(r -> r.request().id().equals(requestId));
    delayNotified.remove(requestId);
    return recordEnd(requestId, 0, false, now);
  }

  /** Returns the reasons for the routing decisions of a request, if they are still stored. */
  public Optional<String> explain(String requestId) {
    return explanations.find(requestId);
  }

  /** Returns the number of queued requests. */
  public int queuedRequests() {
    return shortQueue.requests().size() + longQueue.requests().size();
  }

  /** Returns the ratings of the versions. */
  public QualityTracker quality() {
    return quality;
  }
}
