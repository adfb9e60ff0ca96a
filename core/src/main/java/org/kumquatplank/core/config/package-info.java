/**
 * The configuration that operators publish: work classes with service-level targets, client
 * accounts, model versions and services. The package parses and validates configuration files,
 * serializes records of the configuration stream, and holds the reducer that computes the
 * configuration in force from the log. All types but the reducer are immutable or stateless.
 */
package org.kumquatplank.core.config;
