/**
 * Interface to the append-only log of the platform: named streams of text records with offsets and
 * retention. The package holds no state and starts no threads.
 */
package org.kumquatplank.core.log;
