/** How many bytes and connections of callers a process holds, and what is closed above that. */
package org.kumquatplank.core.memory;
