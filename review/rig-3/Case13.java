/** The store moves, SIGHUP says so, and its old address answers for some seconds more. */
final class Case13 {
  private Case13() {}

  public static void main(String[] arguments) {
    Rig.run(
        arguments, rig -> StoreMove.run(rig, StoreMove.Manner.SIGNAL_AND_OLD_ADDRESS_STAYS));
  }
}
