/**
 * JSON messages between the daemon's administration listener and the command-line tool. The names
 * of the record components are the JSON field names. All types are immutable.
 */
package org.kumquatplank.core.admin;
