/** How many bytes and connections of callers a process holds, and what gives way above that. */
package org.kumquatplank.core.memory;
