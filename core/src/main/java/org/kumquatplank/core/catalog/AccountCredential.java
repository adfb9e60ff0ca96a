package org.kumquatplank.core.catalog;

import java.util.OptionalInt;

/**
 * What a credential stands for.
 *
 * @param account name of the client account
 * @param priority rank of all its work, where it has one
 */
public record AccountCredential(String account, OptionalInt priority) {}
