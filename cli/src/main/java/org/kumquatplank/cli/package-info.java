/**
 * The command-line tool {@code kumquatplank} for operators.
 *
 * <p>A single-threaded client of the administration and caller listeners. It also checks
 * configuration files and builds request timelines from log files without contacting an instance.
 */
package org.kumquatplank.cli;
