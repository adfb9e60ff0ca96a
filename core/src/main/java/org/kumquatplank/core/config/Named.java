package org.kumquatplank.core.config;

/** A configuration item, identified by a name that is unique among the items of its kind. */
public sealed interface Named permits WorkClass, ClientAccount, ModelVersion, PlainService {
  /** Returns the unique name. */
  String name();
}
