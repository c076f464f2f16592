"""Steps that test the merging of results."""

from behave import then, when

from monsoonhoist.policy import merge


@when('the records "{names}" are merged and the {count:d} greatest kept')
def merge_records(context, names, count):
    """Merges records that each repeat one letter."""
    records = [name.encode() * 16 for name in names.split(", ")]
    context.merged_records = merge.find_policy("greatest-records").best(records, count)


@then('the merged records are "{names}"')
def check_merged(context, names):
    """Checks the merged records and their order."""
    expected = tuple(name.encode() * 16 for name in names.split(", "))
    assert context.merged_records == expected, context.merged_records
