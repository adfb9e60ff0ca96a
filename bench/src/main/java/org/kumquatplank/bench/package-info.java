/**
 * Benchmarks of the routing core.
 *
 * <p>{@code RoutingBenchmark} runs seeded discrete-event simulations of the router and of baseline
 * policies against simulated engines and checks the results against bounds. {@code
 * CapacityBenchmark} measures how CPU time, memory and record sizes grow with the size of the
 * system. Everything runs on the main thread, without network access.
 */
package org.kumquatplank.bench;
