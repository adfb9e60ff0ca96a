package org.kumquatplank.bench;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.LongToDoubleFunction;

/** An engine with slots, priorities and a pace that falls as the batch fills. Not thread-safe. */
final class FakeEngine {
  static final int STRETCH_TOKENS = 8;
  private static final long PREFILL_MICROS = 20_000;

  private final EventLoop loop;
  private final String id;
  private final int slots;
  private final LongToDoubleFunction slowness;
  private final PriorityQueue<Job> queue =
      new PriorityQueue<>(
          Comparator.comparingLong((Job j) -> j.priority).thenComparingLong(j -> j.arrival));
  private final List<Job> running = new ArrayList<>();
  private double busyMicros;

  FakeEngine(EventLoop loop, String id, int slots, LongToDoubleFunction slowness) {
    this.loop = loop;
    this.id = id;
    this.slots = slots;
    this.slowness = slowness;
  }

  /** Hears of the progress of a job. */
  interface Listener {
    void tokens(Job job, int count, double microsPerToken);

    void finished(Job job);
  }

  /** One request at this engine. */
  static final class Job {
    final SimRequest request;
    final VersionProfile version;
    private final long priority;
    private final long arrival;
    private final Listener listener;
    private int done;
    private boolean cancelled;
    private long stretchStart;
    private double pace = Double.MAX_VALUE;

    Job(SimRequest request, VersionProfile version, int done, Listener listener, long now) {
      this.request = request;
      this.version = version;
      this.priority = request.work().workClass().firstTokenMillis();
      this.arrival = now;
      this.done = done;
      this.listener = listener;
      this.stretchStart = now;
    }

    int done() {
      return done;
    }

    /** Returns the time of the latest token; within a stretch they come at an even pace. */
    long lastProgress(long now) {
      return stretchStart + (long) (Math.floor((now - stretchStart) / pace) * pace);
    }
  }

  String id() {
    return id;
  }

  int slots() {
    return slots;
  }

  double busyMicros() {
    return busyMicros;
  }

  void submit(Job job) {
    queue.add(job);
    startNext();
  }

  void cancel(Job job) {
    job.cancelled = true;
    if (!queue.remove(job) && running.remove(job)) {
      startNext();
    }
  }

  private void startNext() {
    while (running.size() < slots && !queue.isEmpty()) {
      Job job = queue.poll();
      running.add(job);
      long prefill = (long) (PREFILL_MICROS * slowness.applyAsDouble(loop.now()));
      busyMicros += prefill;
      loop.after(prefill, () -> generate(job, 1));
    }
  }

  private void generate(Job job, int count) {
    if (job.cancelled) {
      return;
    }
    double crowding = 1 + (double) running.size() / slots;
    double pace = job.version.tokenMicros() * crowding * slowness.applyAsDouble(loop.now());
    long micros = (long) (pace * count);
    job.stretchStart = loop.now();
    job.pace = pace;
    busyMicros += micros;
    loop.after(micros, () -> generated(job, count, pace));
  }

  private void generated(Job job, int count, double pace) {
    if (job.cancelled) {
      return;
    }
    job.done += count;
    job.stretchStart = loop.now();
    job.listener.tokens(job, count, pace);
    int left = job.request.tokens() - job.done;
    if (left <= 0) {
      running.remove(job);
      job.listener.finished(job);
      startNext();
    } else {
      generate(job, Math.min(STRETCH_TOKENS, left));
    }
  }
}
