/** An error that a statement of the stand-in ends with. */
export class SqlFailure extends Error {
  readonly sqlState: string;

  constructor(sqlState: string, message: string) {
    super(message);
    this.sqlState = sqlState;
  }
}
