package org.kumquatplank.bench;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.LongToDoubleFunction;

/**
 * A simulated inference engine with a fixed number of slots and a priority queue.
 *
 * <p>Token generation slows down as the batch fills. Not thread-safe.
 */
final class SimulatedEngine {
  /**
   * Tokens generated per event after the first token; the time per token is constant within a
   * chunk.
   */
  static final int TOKENS_PER_CHUNK = 8;

  private static final long PREFILL_MICROS = 20_000;

  private final EventScheduler scheduler;
  private final String id;
  private final int slots;
  private final LongToDoubleFunction slowdown;
  private final PriorityQueue<Job> queue =
      new PriorityQueue<>(
          Comparator.comparingLong((Job j) -> j.priority).thenComparingLong(j -> j.arrival));
  private final List<Job> running = new ArrayList<>();
  private double busyMicros;

  SimulatedEngine(EventScheduler scheduler, String id, int slots, LongToDoubleFunction slowdown) {
    this.scheduler = scheduler;
    this.id = id;
    this.slots = slots;
    this.slowdown = slowdown;
  }

  /** Receives the progress of a job. */
  interface Listener {
    /** Called after each chunk of tokens. */
    void onTokens(Job job, int count, double microsPerToken);

    /** Called after the last token. */
    void onFinished(Job job);
  }

  /**
   * A request on this engine. Jobs with a shorter first-token target have priority; equal ones run
   * in the order of arrival.
   */
  static final class Job {
    final SimRequest request;
    final VersionProfile version;
    private final long priority;
    private final long arrival;
    private final Listener listener;
    private int generatedTokens;
    private boolean cancelled;
    private long chunkStart;
    private double microsPerToken = Double.MAX_VALUE;

    Job(
        SimRequest request,
        VersionProfile version,
        int generatedTokens,
        Listener listener,
        long now) {
      this.request = request;
      this.version = version;
      this.priority = request.routingRequest().workClass().firstTokenMillis();
      this.arrival = now;
      this.generatedTokens = generatedTokens;
      this.listener = listener;
      this.chunkStart = now;
    }

    int generatedTokens() {
      return generatedTokens;
    }

    /** Returns the time of the last token; tokens are evenly spaced within a chunk. */
    long lastTokenTime(long now) {
      return chunkStart + (long) (Math.floor((now - chunkStart) / microsPerToken) * microsPerToken);
    }
  }

  String id() {
    return id;
  }

  int slots() {
    return slots;
  }

  /** Returns the time spent on prefill and token generation, summed over the slots. */
  double busyMicros() {
    return busyMicros;
  }

  /** Queues a job and starts it as soon as a slot is free. */
  void submit(Job job) {
    queue.add(job);
    startQueuedJobs();
  }

  /** Removes a job, whether it is queued or running. */
  void cancel(Job job) {
    job.cancelled = true;
    if (!queue.remove(job) && running.remove(job)) {
      startQueuedJobs();
    }
  }

  private void startQueuedJobs() {
    while (running.size() < slots && !queue.isEmpty()) {
      Job job = queue.poll();
      running.add(job);
      long prefill = (long) (PREFILL_MICROS * slowdown.applyAsDouble(scheduler.now()));
      busyMicros += prefill;
      scheduler.schedule(prefill, () -> startChunk(job, 1));
    }
  }

  private void startChunk(Job job, int count) {
    if (job.cancelled) {
      return;
    }
    double loadFactor = 1 + (double) running.size() / slots;
    double microsPerToken =
        job.version.microsPerToken() * loadFactor * slowdown.applyAsDouble(scheduler.now());
    long micros = (long) (microsPerToken * count);
    job.chunkStart = scheduler.now();
    job.microsPerToken = microsPerToken;
    busyMicros += micros;
    scheduler.schedule(micros, () -> finishChunk(job, count, microsPerToken));
  }

  private void finishChunk(Job job, int count, double microsPerToken) {
    if (job.cancelled) {
      return;
    }
    job.generatedTokens += count;
    job.chunkStart = scheduler.now();
    job.listener.onTokens(job, count, microsPerToken);
    int remaining = job.request.outputTokens() - job.generatedTokens;
    if (remaining <= 0) {
      running.remove(job);
      job.listener.onFinished(job);
      startQueuedJobs();
    } else {
      startChunk(job, Math.min(TOKENS_PER_CHUNK, remaining));
    }
  }
}
