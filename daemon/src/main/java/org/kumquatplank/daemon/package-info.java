/**
 * The daemon {@code kumquatplankd}, which runs one instance of the router.
 *
 * <p>The package reads the settings, serves the HTTP APIs for callers and operators, exchanges
 * digests with peers, follows the configuration in the log, and drains the instance at shutdown.
 * All routing and configuration state is owned by the control thread ({@link
 * org.kumquatplank.daemon.ControlThread}); other threads read immutable snapshots of it. Requests
 * are served on virtual threads.
 */
package org.kumquatplank.daemon;
