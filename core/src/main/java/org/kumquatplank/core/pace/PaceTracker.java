package org.kumquatplank.core.pace;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Compares the latency of each response with its forecast and with the other servers of the
 * service, and records the difference for its server.
 *
 * <p>Not thread-safe.
 */
public final class PaceTracker {
  /** Part of the latency that no forecast contains, microseconds. */
  private static final double FIXED_MICROS = 5_000;

  /** Part of the slots in use up to which a slow server is spared in full, and not at all. */
  private static final double SPARED_UTILIZATION = 0.5;

  private static final double NEEDED_UTILIZATION = 0.8;

  private final Map<String, ServicePrior> priors = new HashMap<>();

  private PaceTracker() {}

  /** Returns a tracker that has seen nothing. */
  public static PaceTracker create() {
    return new PaceTracker();
  }

  /**
   * A response of a backend server that was warm.
   *
   * @param service service of the server
   * @param model model that served the request, nothing for a plain service
   * @param forecastMicros latency expected of a usual server for a request of this size at this
   *     load, without distance, microseconds
   * @param observedMicros time from the send to the first event or the response, without the round
   *     trip of the link, microseconds
   * @param concurrentRequests other requests at the server
   * @param slots maximum number of concurrent requests
   * @param reportedSlowdown slowdown that the server reported with the response, 1 being normal
   */
  public record Sample(
      String service,
      Optional<String> model,
      double forecastMicros,
      double observedMicros,
      int concurrentRequests,
      int slots,
      double reportedSlowdown) {}

  /** Records a response. */
  public void record(ServerPace server, Sample sample, long now) {
    double ratio =
        (Math.max(0, sample.observedMicros()) + FIXED_MICROS)
            / (sample.forecastMicros() + FIXED_MICROS);
    double logRatio = Math.log(ratio) - server.recordReported(sample.reportedSlowdown());
    int band = LoadBand.of(sample.concurrentRequests(), sample.slots());
    ServicePrior prior = priors.computeIfAbsent(sample.service(), s -> new ServicePrior());
    prior.recordUtilization((double) sample.concurrentRequests() / Math.max(1, sample.slots()));
    prior
        .record(sample.model(), band, logRatio)
        .ifPresent(deviation -> server.record(band, deviation, prior.spread(), now));
  }

  /**
   * Returns how far the slow servers of a service are needed, from 0 to 1.
   *
   * <p>In a service with many free slots a slow server is spared. The fuller the service, the more
   * of its capacity is that of its slow servers, and the others would only build up queues.
   */
  public double needOfSlowServers(String service) {
    ServicePrior prior = priors.get(service);
    return prior == null
        ? 0
        : Math.clamp(
            (prior.utilization() - SPARED_UTILIZATION) / (NEEDED_UTILIZATION - SPARED_UTILIZATION),
            0,
            1);
  }
}
