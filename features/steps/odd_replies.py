"""Steps with single odd values in the replies of the native configuration service."""

import asyncio
import datetime
import json

from behave import given, then, when

from monsoonhoist import metrics
from monsoonhoist.core import data, defects
from monsoonhoist.node import config_service, http_call, table_reader
from monsoonhoist.tables import native, store

WAIT = datetime.timedelta(seconds=1)
SERVICE_URL = "http://service"
LIST_URL = "http://list/instances"


class CannedDriver:
    """HTTP client that answers each call at once.

    Attributes:
        reply_by_url: The replies by URL.
        urls: URLs of the calls so far.
    """

    def __init__(self):
        self.reply_by_url = {}
        self.urls = []

    def start(self, call, on_done):
        """Answers a call."""
        url = call.url.partition("?")[0]
        self.urls.append(url)
        on_done(self.reply_by_url[url])


def make_reply(status, body, defect=None):
    """Returns a reply."""
    return http_call.HttpReply(0 if defect else status, body, True, False, "", (), defect)


def value_url(key):
    """Returns the URL of a value."""
    return f"{SERVICE_URL}/v1/values/{key}"


def set_index(context):
    """Sets the reply with the revisions of all values."""
    context.index += 1
    body = json.dumps({"index": context.index, "number_by_key": context.number_by_key})
    context.driver.reply_by_url[f"{SERVICE_URL}/v1/index"] = make_reply(200, body.encode())


def set_value(context, key):
    """Sets a reply with a readable value."""
    body = json.dumps({"number": context.number_by_key[key], "text": "text"}).encode()
    context.driver.reply_by_url[value_url(key)] = make_reply(200, body)


@given('a configuration service with the values "{keys}", and a reply for "odd" {defect}')
def make_service(context, keys, defect):
    """Makes a client of a service that delivers all values but one."""
    context.driver = CannedDriver()
    context.index = 0
    context.number_by_key = dict.fromkeys(keys.split(", "), 1)
    set_index(context)
    for key in context.number_by_key:
        set_value(context, key)
    context.driver.reply_by_url[value_url("odd")] = {
        "that is not JSON": make_reply(200, b"{odd"),
        "with status 404": make_reply(404, b""),
        "with status 503": make_reply(503, b""),
        "that is too long": make_reply(200, b"", defects.Defect.TOO_LONG),
    }[defect]
    context.values = {}
    context.client = make_client(context.driver)
    context.reader = config_service.ConfigServiceReader(context.client, WAIT)
    context.store = store.TableStore(native.NativeFormat())


def make_client(driver):
    """Returns a client that uses the driver."""
    counters = metrics.Metrics(data.InstanceId("reader"))
    return config_service.ConfigServiceClient(SERVICE_URL, LIST_URL, driver, counters)


@when("the service is read {count:d} times")
@when("the service is read {count:d} time")
def read(context, count):
    """Reads the service, as the watcher does."""
    for _ in range(count):
        reading = asyncio.run(context.reader.read(context.store))
        context.values.update({value.key: value.number for value in reading.values})


@when('"odd" can be read, and the service is read {count:d} time')
def read_odd(context, count):
    """Makes the value readable, and reads the service."""
    set_value(context, "odd")
    read(context, count)


@then('the values "{keys}" have been read')
def check_values(context, keys):
    """Checks which values have been read."""
    assert sorted(context.values) == sorted(keys.split(", ")), context.values


@then("reading the service fails")
def check_failure(context):
    """Checks that a failure of the service is none of the value."""
    try:
        read(context, 1)
    except config_service.UnreadableValueError as error:
        raise AssertionError("the value counts as unreadable") from error
    except table_reader.ConfigServiceError:
        return
    raise AssertionError("the service has been read")


@given('an instance list with the instances "one" and "two" and 3 odd entries')
def make_list(context):
    """Makes a client of a list with odd entries."""
    entry = {"host": "127.0.0.1", "peer_port": 9, "zone": "z", "state": "live"}
    entries = [
        {"instance": "one", **entry},
        {"instance": "odd", **entry, "peer_port": "x"},
        5,
        {"instance": "odd"},
        {"instance": "two", **entry},
    ]
    context.driver = CannedDriver()
    context.driver.reply_by_url[LIST_URL] = make_reply(200, json.dumps(entries).encode())


@when("the instance list is read")
def read_list(context):
    """Reads the list."""
    context.listed = asyncio.run(make_client(context.driver).fetch_instances())


@then('it has the instances "{names}"')
def check_list(context, names):
    """Checks the instances of the list."""
    assert [listed.instance for listed in context.listed] == names.split(", "), context.listed
