/**
 * Stand-ins for the external platform that speak its published protocol: the keyed store and the
 * backend servers. They run in the process of the caller, on virtual threads.
 */
package org.kumquatplank.testkit.fleet;
