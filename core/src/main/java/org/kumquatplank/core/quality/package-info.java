/**
 * Quality of each model version in each work class, estimated from ratings: an exponentially
 * decaying histogram for the current estimate, and a sequential test that detects a decline.
 *
 * <p>The tracker is not thread-safe; the control thread owns it.
 */
package org.kumquatplank.core.quality;
