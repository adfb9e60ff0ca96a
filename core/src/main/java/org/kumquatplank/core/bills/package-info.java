/**
 * Billing with one bill per request. A bill is opened when the request is dispatched and settled
 * when the response ends. Two instances hold it until it is in the log, and readers of the log
 * count only the first bill of an id. The package starts no threads: the caller runs the writer.
 */
package org.kumquatplank.core.bills;
