/**
 * At-most-once execution of non-idempotent calls.
 *
 * <p>An instance makes a claim of the call's idempotency key durable in the log before it
 * dispatches the call; the first claim of a key in log order wins. Key, fingerprint and replayed
 * outcome follow the design in "Idempotency Keys: Architecting Exactly-Once Writes". Its time-out
 * after which a claim can be taken over is left out, because a paused holder would then run the
 * call a second time. The package starts no threads: appends run on the executor given to the
 * store.
 */
package org.kumquatplank.core.claims;
