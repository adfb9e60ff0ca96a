/**
 * Stand-ins for the systems around the router (platform, model engine, plain HTTP service), and
 * clients that send load to the router and print results.
 *
 * <p>Each stand-in listens on its own HTTP port. Engines and services announce themselves to the
 * platform from a virtual thread of their own.
 */
package org.kumquatplank.testkit;
