/**
 * JSON parser that keeps the line and column of each value, so that a finding can state its
 * location. The types are not thread-safe; each parse uses its own objects.
 */
package org.kumquatplank.core.config.internal;
