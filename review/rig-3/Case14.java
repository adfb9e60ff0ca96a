/** The settings file changes without any signal: it names the store's new address. */
final class Case14 {
  private Case14() {}

  public static void main(String[] arguments) {
    Rig.run(arguments, rig -> StoreMove.run(rig, StoreMove.Manner.NO_SIGNAL));
  }
}
