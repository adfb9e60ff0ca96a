/**
 * Stand-ins for the users' platform, which speak its published protocol: the store and replicas.
 */
package org.kumquatplank.testkit.fleet;
