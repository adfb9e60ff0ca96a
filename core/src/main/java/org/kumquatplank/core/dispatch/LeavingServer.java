package org.kumquatplank.core.dispatch;

/**
 * A process of a backend server that said in a response that it leaves.
 *
 * <p>Immutable and thread-safe. A new process with the same id is not leaving.
 *
 * @param id id of the backend server
 * @param startedMillis start of the process, Unix milliseconds
 */
public record LeavingServer(String id, long startedMillis) {}
