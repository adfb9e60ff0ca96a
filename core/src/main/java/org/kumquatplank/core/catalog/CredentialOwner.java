package org.kumquatplank.core.catalog;

import java.util.OptionalInt;

/**
 * The client account that a credential belongs to.
 *
 * @param account name of the client account
 * @param priority priority of all requests of the account, empty to use that of the route
 */
public record CredentialOwner(String account, OptionalInt priority) {}
