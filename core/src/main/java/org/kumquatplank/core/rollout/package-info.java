/** Moves services to another version of their software step by step, on pooled evidence. */
package org.kumquatplank.core.rollout;
