/**
 * Errors in replies to callers and operators: an error code, whether a backend server executed the
 * request, and the earliest time for a retry. All types are immutable.
 */
package org.kumquatplank.core.error;
