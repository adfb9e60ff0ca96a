/**
 * The entry of the users' platform: takes callers' requests, forwards them and tells the truth
 * about them.
 *
 * <p>One thread does the traffic, another one holds the control state. Decisions are in {@code
 * core}, the names of the wire in {@code platform}.
 */
package org.kumquatplank.edge;
